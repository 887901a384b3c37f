package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"
)

// blockedWriter takes nothing until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// countingWriter keeps what each call wrote.
type countingWriter struct{ blocks [][]byte }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.blocks = append(w.blocks, bytes.Clone(p))
	return len(p), nil
}

func TestQueue(t *testing.T) {
	convey.Convey("Given a reader of the log that takes nothing", t, func() {
		w := &blockedWriter{release: make(chan struct{})}
		q := NewQueue(w)
		log := New(q, "entryd", "e1", zerolog.InfoLevel)
		convey.Convey("no line waits for it, routine lines are left out first, and their number is told", func() {
			for range 5000 {
				log.At(RouteChosen).Str("request", "served").Send()
			}
			for range 300 {
				log.At(RetryRefused).Str("request", "failed").Send()
			}
			close(w.release)
			q.Close()
			lines := strings.Split(strings.TrimSpace(w.b.String()), "\n")
			served, failed := 0, 0
			for _, l := range lines {
				switch {
				case strings.Contains(l, "served"):
					served++
				case strings.Contains(l, "failed"):
					failed++
				}
			}
			convey.So(failed, convey.ShouldEqual, 300)
			convey.So(served, convey.ShouldBeBetween, 0, 5000)
			convey.So(w.b.String(), convey.ShouldContainSubstring, fmt.Sprintf(`"lines":%d`, 5000-served))
		})
	})
	convey.Convey("Lines are written whole, in blocks that a pipe takes in one piece", t, func() {
		w := &countingWriter{}
		q := NewQueue(w)
		log := New(q, "entryd", "e1", zerolog.InfoLevel)
		for range 200 {
			log.At(RouteChosen).Str("request", "r").Send()
		}
		log.At(RouteChosen).Str("request", strings.Repeat("x", 2*blockBytes)).Send()
		q.Close()
		convey.So(len(w.blocks), convey.ShouldBeGreaterThan, 3)
		for _, b := range w.blocks {
			convey.So(b[len(b)-1], convey.ShouldEqual, '\n')
			convey.So(len(b) <= blockBytes || bytes.Count(b, []byte("\n")) == 1, convey.ShouldBeTrue)
		}
	})
	convey.Convey("Closing writes what waits", t, func() {
		var b bytes.Buffer
		q := NewQueue(&b)
		New(q, "entryd", "e1", zerolog.InfoLevel).At(Stopped).Send()
		q.Close()
		convey.So(b.String(), convey.ShouldContainSubstring, `"name":"stopped"`)
	})
}

// BenchmarkServedRequest writes the two lines that a served request has.
func BenchmarkServedRequest(b *testing.B) {
	q := NewQueue(discard{})
	defer q.Close()
	log := New(q, "entryd", "e1", zerolog.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.At(AttemptSent).Str("request", "9c41d07be2a35f68").Str("target", "i-7f3a91c2").Int("load", 3).Send()
		log.At(RequestEnded).Str("request", "9c41d07be2a35f68").Str("route", "r-1").Int("status", 200).Str("reason", "delivered").Send()
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
