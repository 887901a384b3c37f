package event

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"
)

// blockedWriter blocks all writes until release is closed.
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

// recordingWriter records the data of each write.
type recordingWriter struct{ writes [][]byte }

func (w *recordingWriter) Write(p []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(p))
	return len(p), nil
}

func TestAsyncWriter(t *testing.T) {
	convey.Convey("Given a blocked reader of the log", t, func() {
		w := &blockedWriter{release: make(chan struct{})}
		aw := NewAsyncWriter(w)
		log := New(aw, "entryd", "e1", zerolog.InfoLevel)
		convey.Convey("logging does not block, routine lines are dropped first, and their number is logged", func() {
			for i := range 5000 {
				if i == 3000 {
					time.Sleep(3 * flushInterval) // the writer takes the lines so far and blocks
				}
				log.Event(RouteChosen).Str("request", "served").Send()
			}
			for range 300 {
				log.Event(RetryRefused).Str("request", "failed").Send()
			}
			close(w.release)
			aw.Close()
			lines := strings.Split(strings.TrimSpace(w.b.String()), "\n")
			served, failed, dropped := 0, 0, 0
			for _, l := range lines {
				var event struct{ Lines int }
				convey.So(json.Unmarshal([]byte(l), &event), convey.ShouldBeNil)
				dropped += event.Lines // each flush states those since the one before
				switch {
				case strings.Contains(l, "served"):
					served++
				case strings.Contains(l, "failed"):
					failed++
				}
			}
			convey.So(failed, convey.ShouldEqual, 300)
			convey.So(served, convey.ShouldBeBetween, 0, 5000)
			convey.So(dropped, convey.ShouldEqual, 5000-served)
			convey.So(w.b.String(), convey.ShouldContainSubstring, `"name":"lines_dropped"`)
		})
	})
	convey.Convey("Each write contains complete lines and, unless a single line is longer, is atomic on a pipe", t, func() {
		w := &recordingWriter{}
		aw := NewAsyncWriter(w)
		log := New(aw, "entryd", "e1", zerolog.InfoLevel)
		for range 200 {
			log.Event(RouteChosen).Str("request", "r").Send()
		}
		log.Event(RouteChosen).Str("request", strings.Repeat("x", 2*maxWriteBytes)).Send()
		aw.Close()
		convey.So(len(w.writes), convey.ShouldBeGreaterThan, 3)
		for _, b := range w.writes {
			convey.So(b[len(b)-1], convey.ShouldEqual, '\n')
			convey.So(len(b) <= maxWriteBytes || bytes.Count(b, []byte("\n")) == 1, convey.ShouldBeTrue)
		}
	})
	convey.Convey("Close writes the buffered lines", t, func() {
		var b bytes.Buffer
		aw := NewAsyncWriter(&b)
		New(aw, "entryd", "e1", zerolog.InfoLevel).Event(Stopped).Send()
		aw.Close()
		convey.So(b.String(), convey.ShouldContainSubstring, `"name":"stopped"`)
	})
}

// BenchmarkServedRequest measures writing the two log lines of a served request.
func BenchmarkServedRequest(b *testing.B) {
	aw := NewAsyncWriter(discard{})
	defer aw.Close()
	log := New(aw, "entryd", "e1", zerolog.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.Event(AttemptSent).Str("request", "9c41d07be2a35f68").Str("target", "i-7f3a91c2").Int("load", 3).Send()
		log.Event(RequestEnded).Str("request", "9c41d07be2a35f68").Str("route", "r-1").Int("status", 200).Str("reason", "delivered").Send()
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
