package slowreader

import (
	"testing"
	"time"
)

// simulatedReader reads rate bytes a second of a stream of sent bytes a second through a
// buffer of limit bytes.
type simulatedReader struct {
	Reader
	sent, rate, limit int64
	dropped           bool
}

func (r *simulatedReader) advance(elapsed time.Duration) {
	r.Held = min(r.limit, r.Held+int64(float64(r.sent)*elapsed.Seconds()))
	n := min(r.Held, int64(float64(r.rate)*elapsed.Seconds()))
	r.Held -= n
	r.Taken += n
}

// TestLoadOfSlowReaders guards against dropping readers that keep up, or that are slow and
// hold little, instead of those that do not read, and against dropping more than needed.
func TestLoadOfSlowReaders(t *testing.T) {
	const (
		step      = 200 * time.Millisecond
		available = 2 << 20
		unread    = 100 // readers that don't read
	)
	start := time.Unix(1000, 0)
	tracker := New()
	var readers []*simulatedReader
	add := func(n int, sent, rate, limit int64) {
		for range n {
			readers = append(readers, &simulatedReader{Reader: Reader{ID: uint64(len(readers) + 1)}, sent: sent, rate: rate, limit: limit})
		}
	}
	add(unread, 100<<10, 0, 32<<10)
	add(600, 6<<10, 1<<20, 32<<10)  // streams that are read at once
	add(50, 300, 0, 4<<10)          // slow, and hold little
	add(50, 1<<20, 512<<10, 32<<10) // long responses that are read steadily
	add(1, 1<<20, 1, 32<<10)        // reads a byte now and then
	dropped, freed := 0, int64(0)
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
		var held int64
		var list []Reader
		for _, r := range readers {
			if r.dropped {
				continue
			}
			r.advance(step)
			held += r.Held
			list = append(list, r.Reader)
		}
		tracker.Observe(now, list)
		for _, id := range tracker.Drop(now, held-available) {
			r := readers[id-1]
			if r.rate > 1 || r.limit < MinHeld {
				t.Fatalf("at %s reader %d was dropped: %+v", now.Sub(start), id, r.Reader)
			}
			if r.dropped {
				t.Fatalf("reader %d was dropped twice", id)
			}
			r.dropped = true
			dropped++
			freed += r.Held
		}
	}
	var held int64
	for _, r := range readers {
		if !r.dropped {
			held += r.Held
		}
	}
	if held > available {
		t.Errorf("%d bytes are held of %d", held, available)
	}
	if need := held + freed - available; freed >= need+64<<10 || dropped == 0 || dropped > unread+1 {
		t.Errorf("%d readers with %d bytes were dropped, %d bytes had to be freed", dropped, freed, need)
	}
}

// TestDropOrder guards against dropping a reader of unknown speed before a slow one.
func TestDropOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := New()
	tracker.Observe(start, []Reader{{ID: 1, Held: 30000}, {ID: 2, Held: 20000}, {ID: 3, Held: MinHeld - 1}})
	now := start.Add(time.Second)
	tracker.Observe(now, []Reader{{ID: 1, Held: 30000, Taken: 500000}, {ID: 2, Held: 20000, Taken: 1000}, {ID: 3, Held: MinHeld - 1}, {ID: 4, Held: 60000}})
	if got := tracker.Drop(now, 0); got != nil {
		t.Errorf("without need, %v were dropped", got)
	}
	for i, want := range []uint64{2, 1, 4} {
		if got := tracker.Drop(now, 1); len(got) != 1 || got[0] != want {
			t.Errorf("drop %d: %v instead of %d", i, got, want)
		}
	}
	if got := tracker.Drop(now, 1); got != nil {
		t.Errorf("%v were dropped, which hold little or were dropped before", got)
	}
}

// TestReaderReturns guards against a rate that outlives the time in which a reader held
// nothing: its connection may serve another response.
func TestReaderReturns(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := New()
	tracker.Observe(start, []Reader{{ID: 1, Held: 30000}})
	tracker.Observe(start.Add(time.Second), []Reader{{ID: 1, Held: 0, Taken: 30000}})
	now := start.Add(2 * time.Second)
	tracker.Observe(now, []Reader{{ID: 1, Held: 30000, Taken: 30000}, {ID: 2, Held: 20000}})
	if got := tracker.Drop(now, 1); len(got) != 1 || got[0] != 1 {
		t.Errorf("%v were dropped", got)
	}
	if s := tracker.states[2]; s == nil || s.rate != 0 || !s.since.Equal(now) {
		t.Errorf("state %+v", s)
	}
}
