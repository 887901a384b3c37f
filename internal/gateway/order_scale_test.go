//go:build scale

package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/routing"
)

// classKind is a kind of requests of a class.
type classKind struct {
	name   string
	route  *routing.Route
	tokens int
	rate   float64 // requests a second

	calls, served, onTime, tries int
}

// TestClassesUnderLoad measures how often requests of two classes are served by one engine
// that reads prompts one after the other and knows no priorities, at several times its
// capacity. It guards against a less urgent class that is served more often because its
// callers wait longer.
func TestClassesUnderLoad(t *testing.T) {
	for _, load := range []float64{0.8, 1.2, 2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			kinds := runClasses(t, load)
			for _, k := range kinds {
				t.Logf("%s: %d calls, served %.3f, on time %.3f, tries %.1f", k.name, k.calls, k.part(k.served), k.part(k.onTime), k.part(k.tries))
			}
			if short, batch := kinds[0], kinds[2]; short.part(short.served) < batch.part(batch.served) {
				t.Errorf("the urgent class was served at %.3f, the less urgent one at %.3f", short.part(short.served), batch.part(batch.served))
			}
		})
	}
}

// part returns n relative to the calls.
func (k *classKind) part(n int) float64 { return float64(n) / float64(k.calls) }

// runClasses sends requests for 20 s and counts those after the first 4 s. Callers honour
// Retry-After up to a third of the time that they have left.
func runClasses(t *testing.T, load float64) []*classKind {
	var engine sync.Mutex
	ft := newFakeTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
		n, _ := strconv.Atoi(r.Header.Get("Id"))
		engine.Lock()
		time.Sleep(time.Duration(n%100000) * 100 * time.Microsecond)
		engine.Unlock()
		return sendEvents(1, 2, true)(c, r)
	})
	tg := newTestGateway(t, ft)
	tg.fleet.mu.Lock()
	tg.fleet.targets["t1"].replica.Slots = 64
	tg.fleet.targets["t1"].applyState(time.Now(), peer.EngineState{Reachable: true, Models: []string{"m"}})
	tg.fleet.mu.Unlock()
	base := routing.Route{Host: "h", Kind: routing.Stream, MaxAttempts: 2, Shares: []routing.Share{{Service: "s", Weight: 1}}}
	chat, batch := base, base
	chat.Name, chat.Prefix, chat.Urgency, chat.Timeout, chat.Objective = "chat", "/chat/", 0, 6*time.Second, 500*time.Millisecond
	batch.Name, batch.Prefix, batch.Urgency, batch.Timeout, batch.Objective = "batch", "/batch/", 2, 20*time.Second, 2*time.Second
	kinds := []*classKind{
		{route: &chat, tokens: 200, rate: 20 * load, name: "chat short"},
		{route: &chat, tokens: 2800, rate: 0.7 * load, name: "chat long"},
		{route: &batch, tokens: 200, rate: 20 * load, name: "batch"},
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	end := start.Add(20 * time.Second)
	for _, k := range kinds {
		wg.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() / k.rate * float64(time.Second)))
				wg.Go(func() {
					began := time.Now()
					patience := callerTimeout(k.route.Objective)
					ok, onTime, tries := false, false, 0
					for {
						left := patience - time.Since(began)
						if left < 20*time.Millisecond {
							break
						}
						id := strconv.Itoa(rand.IntN(20000)*100000 + k.tokens)
						r := httptest.NewRequest(http.MethodPost, k.route.Prefix, strings.NewReader("body"))
						r.Header.Set("Id", id)
						c := newCall(time.Now(), RequestMeta{ID: id, Model: "m", PromptTokens: k.tokens, Deadline: left}, k.route, "s", r, []byte("body"))
						w := httptest.NewRecorder()
						ctx, cancel := context.WithTimeout(context.Background(), left)
						func() {
							defer func() { _ = recover() }()
							tg.gateway.runAttempts(ctx, ctx, w, c)
						}()
						cancel()
						tries++
						if !c.firstEvent.IsZero() {
							ok, onTime = true, c.firstEvent.Sub(began) <= k.route.Objective
							break
						}
						after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
						if err != nil {
							break
						}
						time.Sleep(min(time.Duration(after*float64(time.Second)), (patience-time.Since(began))/3))
					}
					mu.Lock()
					defer mu.Unlock()
					if began.Before(start.Add(4 * time.Second)) {
						return
					}
					k.calls++
					k.tries += tries
					if ok {
						k.served++
					}
					if onTime {
						k.onTime++
					}
				})
			}
		})
	}
	wg.Wait()
	return kinds
}
