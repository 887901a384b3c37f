package gateway

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/enginecontroller"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/settings"
)

// countedStore counts the calls of one process to a store, and may be silent to it.
type countedStore struct {
	follow.Source
	calls  atomic.Int64
	silent atomic.Bool
}

func (s *countedStore) List(ctx context.Context, k objects.ObjectKind) ([]objects.Object, follow.Position, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, follow.Position{}, ctx.Err()
	}
	return s.Source.List(ctx, k)
}

func (s *countedStore) Watch(ctx context.Context, k objects.ObjectKind, after follow.Position, wait time.Duration) ([]objects.Object, follow.Position, error) {
	s.calls.Add(1)
	if s.silent.Load() {
		<-ctx.Done()
		return nil, follow.Position{}, ctx.Err()
	}
	return s.Source.Watch(ctx, k, after, wait)
}

// confirmedGateway is a gateway with two targetds in its availability zone that confirm the
// configuration of a store.
type confirmedGateway struct {
	*keyedGateway
	store    *historyStore
	own      *countedStore
	targetds [2]*countedStore
}

// confirmBounds lead to a period of 0.8 s.
var confirmBounds = settings.Bounds{ApplyWithin: 2 * time.Second, RevokeWithin: 2 * time.Second}

func newConfirmedGateway(t *testing.T) *confirmedGateway {
	t.Helper()
	g := &confirmedGateway{store: newHistoryStore()}
	g.store.put("main", "5 red:red-1")
	targets := []*fakeTarget{newFakeTarget(t, "t1", respond(200, "good", signed)), newFakeTarget(t, "t2", respond(200, "good", signed))}
	targets[1].addr = testAddr(2) // another VM, which serves no requests
	g.keyedGateway = newKeyedGateway(t, targets...)
	g.prefer("t1")
	g.own = &countedStore{Source: g.store}
	followKeys(t, g.keyedGateway, g.own, confirmBounds)
	for i, target := range targets {
		g.targetds[i] = &countedStore{Source: g.store}
		g.fleet.targets[target.id].vmHash = uint64(i)
		connectTargetd(t.Context(), t, g.testGateway, target.id, newConfirmer(t, target.id, g.targetds[i]), "e1")
	}
	go func() {
		for t.Context().Err() == nil {
			g.fleet.askConfirmer(g.gateway.Confirmations, g.gateway.Configuration.Load())
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return g
}

// newConfirmer starts a targetd that confirms the configuration.
func newConfirmer(t *testing.T, id string, s follow.Source) netip.AddrPort {
	t.Helper()
	start := time.Now().Add(-time.Hour) // another clock than the gateway's
	ec := enginecontroller.New(enginecontroller.Options{
		Self: peer.Identity{Name: id, Role: "targetd"}, Key: peer.Key("k"), Engine: idleEngine{}, Log: event.Discard(), Scope: tally.NoopScope,
		Configuration: enginecontroller.Configuration{
			Store: s, Kind: "kind", Name: "main", Period: confirmBounds.ConfirmationPeriod(), Clock: func() time.Duration { return time.Since(start) },
		},
	})
	srv := httptest.NewServer(ec)
	go ec.Run(t.Context())
	t.Cleanup(srv.Close)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// greatestAge returns the greatest age of the confirmation during a time.
func (g *confirmedGateway) greatestAge(during time.Duration) time.Duration {
	greatest := time.Duration(0)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		age, _ := g.gateway.latestConfirmation().Age(g.gateway.Confirmations.clock())
		greatest = max(greatest, age)
	}
	return greatest
}

// TestConfirmers guards against an entryd that calls the store although targetds confirm
// the configuration, or relies on them when they can't.
func TestConfirmers(t *testing.T) {
	g := newConfirmedGateway(t)
	time.Sleep(time.Second)
	before := g.own.calls.Load()
	age := g.greatestAge(3 * time.Second)
	if t.Logf("steady state: age %s at a period of 0.8 s", age); age > 1200*time.Millisecond {
		t.Errorf("steady state: age %s", age)
	}
	if calls := g.own.calls.Load() - before; calls != 0 {
		t.Errorf("steady state: %d calls of the entryd", calls)
	}
	if calls := g.targetds[0].calls.Load() + g.targetds[1].calls.Load(); calls > 14 {
		t.Errorf("steady state: %d calls of the targetds", calls)
	}
	g.targetds[0].silent.Store(true)
	if age := g.greatestAge(2 * time.Second); age > 1600*time.Millisecond {
		t.Errorf("one targetd without the store: age %s", age)
	}
	g.targetds[1].silent.Store(true)
	if age := g.greatestAge(3 * time.Second); age > 1600*time.Millisecond {
		t.Errorf("both without the store: age %s", age)
	}
	if g.own.calls.Load() == before {
		t.Error("the entryd does not call the store itself")
	}
	g.own.silent.Store(true)
	time.Sleep(2200 * time.Millisecond)
	if r := g.call(t, "/safe/x", "Key", "red-1"); r.status != 503 {
		t.Errorf("silent store: status %d", r.status)
	}
	g.targetds[1].silent.Store(false)
	if !eventually(func() bool { return g.call(t, "/safe/x", "Key", "red-1").status == 200 }) {
		t.Error("the entryd without the store does not rely on a targetd that has it")
	}
}

// TestConfirmersKnowNewer guards against a configuration that is known to the targetds only,
// and against a restored store whose older configuration confirms the one in force.
func TestConfirmersKnowNewer(t *testing.T) {
	g := newConfirmedGateway(t)
	time.Sleep(time.Second)
	copied := g.store.copyOf()
	before, start := g.own.calls.Load(), time.Now()
	g.store.put("main", "6 blue:blue-1")
	if !eventually(func() bool { return g.gateway.Configuration.Load().Version == 6 }) || time.Since(start) > 1400*time.Millisecond {
		t.Errorf("in force after %s", time.Since(start))
	}
	time.Sleep(time.Second)
	if calls := g.own.calls.Load() - before; calls != 1 {
		t.Errorf("%d calls of the entryd", calls)
	}
	if r := g.call(t, "/safe/x", "Key", "blue-1"); r.status != 200 {
		t.Errorf("status %d", r.status)
	}
	g.store.restore(copied, func(*historyStore) {})
	time.Sleep(confirmBounds.RevokeWithin + 1200*time.Millisecond)
	if r := g.call(t, "/safe/x", "Key", "blue-1"); r.status != 503 {
		t.Errorf("restored store: status %d", r.status)
	}
	g.store.put("main", "6 blue:blue-1")
	if !eventually(func() bool { return g.call(t, "/safe/x", "Key", "blue-1").status == 200 }) {
		t.Error("the configuration that is written again is not confirmed")
	}
}

// TestConfirmersOfZone guards against questions to targetds of other availability zones, to
// ones that don't know the message, and to more than two.
func TestConfirmersOfZone(t *testing.T) {
	g := newConfirmedGateway(t)
	if n := len(g.fleet.confirmers()); n != 2 {
		t.Errorf("%d targetds", n)
	}
	g.fleet.mu.Lock()
	g.fleet.targets["t1"].replica.Zone = "b"
	g.fleet.mu.Unlock()
	if n := len(g.fleet.confirmers()); n != 1 {
		t.Errorf("%d targetds, one of them in another zone", n)
	}
	other := newTestGateway(t, newFakeTarget(t, "t1", respond(200, "good", signed)))
	connectTargetd(t.Context(), t, other, "t1", newTargetd(t, "t1"), "e1")
	if n := len(other.fleet.confirmers()); n != 0 {
		t.Errorf("%d targetds of an earlier release", n)
	}
}

// TestAnswerTwice guards against an answer that counts from the sending of another question,
// and against questions that are kept for ever.
func TestAnswerTwice(t *testing.T) {
	k := newKeyedGateway(t)
	c := k.gateway.Confirmations
	k.sink.Replace(time.Now(), []objects.Object{{Name: "main", Version: 7, Value: []byte("5 red:red-1")}}, time.Time{}, false)
	k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), List: true, History: 1})
	ask := func() uint64 {
		k.pass(time.Second)
		m, ok := c.nextQuestion(k.gateway.Configuration.Load())
		if !ok {
			t.Fatal("no question is due")
		}
		return m.ID
	}
	age := func() time.Duration {
		age, _ := k.gateway.latestConfirmation().Age(time.Duration(k.clock.Load()))
		return age
	}
	first := ask()
	if _, ok := c.nextQuestion(k.gateway.Configuration.Load()); ok {
		t.Error("two questions at once")
	}
	k.pass(time.Second)
	c.applyAnswer(peer.ConfirmationAnswer{ID: first, History: 1, Version: 7, Age: 500 * time.Millisecond})
	if age() != 1500*time.Millisecond {
		t.Errorf("age %s", age())
	}
	c.applyAnswer(peer.ConfirmationAnswer{ID: first, History: 1, Version: 7})
	c.applyAnswer(peer.ConfirmationAnswer{ID: 99, History: 1, Version: 7})
	if age() != 1500*time.Millisecond {
		t.Errorf("age %s after answers without a question", age())
	}
	for range 100 {
		ask()
	}
	if len(c.questions) > maxQuestions {
		t.Errorf("%d questions", len(c.questions))
	}
}

// TestDue guards against calls of the store that are late when targetds no longer confirm
// the configuration or know a newer one, and against calls that are not needed.
func TestDue(t *testing.T) {
	k := newKeyedGateway(t)
	c := k.gateway.Confirmations
	due := func(sinceCall time.Duration) time.Duration {
		d, ok := c.due(k.gateway.Configuration.Load(), sinceCall)
		if !ok {
			t.Error("nothing is due")
		}
		return d
	}
	check := func(what string, got, want time.Duration) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, not %s", what, got, want)
		}
	}
	answer := func(version uint64, age time.Duration) {
		m, _ := c.nextQuestion(k.gateway.Configuration.Load())
		c.applyAnswer(peer.ConfirmationAnswer{ID: m.ID, History: 1, Version: version, Age: age})
	}
	k.sink.Replace(time.Now(), []objects.Object{{Name: "main", Version: 7, Value: []byte("5 red:red-1")}}, time.Time{}, false)
	k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), List: true, History: 1})
	check("without answers", due(0), 2*time.Second)
	k.pass(time.Second)
	answer(7, 0)
	check("after an answer", due(time.Second), 3*time.Second)
	k.pass(time.Second)
	answer(7, 500*time.Millisecond)
	check("after one of some age", due(2*time.Second), 2500*time.Millisecond)
	k.pass(2400 * time.Millisecond)
	check("near the age", due(4400*time.Millisecond), 100*time.Millisecond)
	k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), History: 1})
	check("after the own call", due(0), 3*time.Second)
	k.pass(time.Second)
	check("when the answers have stopped", due(time.Second), time.Second)
	answer(8, 0)
	check("when a targetd knows a newer one", due(time.Second), -500*time.Millisecond)
	select {
	case <-c.changed:
	default:
		t.Error("the follower is not told")
	}
}

// TestUnknownKeyWhileNewerIsKnown guards against a 401 for a key of a configuration that a
// targetd has seen in the store and this process has not read yet.
func TestUnknownKeyWhileNewerIsKnown(t *testing.T) {
	k := newKeyedGateway(t, newFakeTarget(t, "t1", respond(200, "good", signed)))
	c := k.gateway.Confirmations
	k.sink.Replace(time.Now(), []objects.Object{{Name: "main", Version: 7, Value: []byte("5 red:red-1")}}, time.Time{}, false)
	k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), List: true, History: 1})
	check := func(what, key string, status int) {
		t.Helper()
		if r := k.call(t, "/safe/x", "Key", key); r.status != status {
			t.Errorf("%s: status %d, want %d", what, r.status, status)
		}
	}
	check("before the answer", "green-1", 401)
	k.pass(time.Second)
	m, _ := c.nextQuestion(k.gateway.Configuration.Load())
	c.applyAnswer(peer.ConfirmationAnswer{ID: m.ID, History: 1, Version: 8})
	check("an unknown key", "green-1", 503)
	check("a known key", "red-1", 200)
	k.sink.Apply(time.Now(), []objects.Object{{Name: "main", Version: 8, Value: []byte("6 red:red-1 blue:blue-1")}}, time.Time{})
	k.sink.Responded(follow.Response{SentAt: time.Duration(k.clock.Load()), History: 1})
	check("after the newer one", "green-1", 401)
}
