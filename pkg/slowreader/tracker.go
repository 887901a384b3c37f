package slowreader

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of a Tracker.
const (
	// MinHeld is the number of unread bytes from which on a reader holds much. Usual
	// responses and the events of some seconds are smaller.
	MinHeld = 8 << 10
	// minObserved is the time for which a reader must have held bytes before its rate is
	// used. It covers some round trips and a retransmission.
	minObserved = 500 * time.Millisecond
	// rateTime is the time constant with which the rate follows the observations.
	rateTime = time.Second
)

// Reader is the state of a reader.
type Reader struct {
	ID    uint64 // unique in a Tracker
	Held  int64  // bytes that it has not taken yet
	Taken int64  // bytes that it has taken since its connection was opened
}

// readerState is what is known of a reader that holds bytes.
type readerState struct {
	Reader
	since time.Time // when it was first seen to hold bytes without a break
	at    time.Time // of the last observation
	rate  float64   // bytes per second that it takes
}

// drainTime returns the seconds in which the reader takes what it holds.
func (s *readerState) drainTime() float64 {
	if s.rate <= 0 {
		return math.Inf(1)
	}
	return float64(s.Held) / s.rate
}

// Tracker tracks the rates of readers. It is not safe for concurrent use.
type Tracker struct {
	states map[uint64]*readerState
}

// New returns a Tracker without readers.
func New() *Tracker { return &Tracker{states: map[uint64]*readerState{}} }

// Observe replaces the state of all readers at now. Readers that are not listed hold
// nothing.
func (t *Tracker) Observe(now time.Time, readers []Reader) {
	next := make(map[uint64]*readerState, len(readers))
	for _, r := range readers {
		if r.Held <= 0 {
			continue
		}
		s := t.states[r.ID]
		if s == nil {
			s = &readerState{since: now, at: now}
		} else if elapsed := now.Sub(s.at); elapsed > 0 {
			observed := float64(r.Taken-s.Taken) / elapsed.Seconds()
			weight := 1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds())
			if s.at.Equal(s.since) { // the first rate
				weight = 1
			}
			s.rate += weight * (observed - s.rate)
			s.at = now
		}
		s.Reader = r
		next[r.ID] = s
	}
	t.states = next
}

// Drop returns the readers to drop so that at least excess bytes are freed, as far as
// readers that hold much can free them, the slowest first. It forgets them.
func (t *Tracker) Drop(now time.Time, excess int64) []uint64 {
	if excess <= 0 {
		return nil
	}
	var large []*readerState
	for _, s := range t.states {
		if s.Held >= MinHeld {
			large = append(large, s)
		}
	}
	slices.SortFunc(large, func(a, b *readerState) int {
		if aNew, bNew := now.Sub(a.since) < minObserved, now.Sub(b.since) < minObserved; aNew != bNew {
			if aNew {
				return 1
			}
			return -1
		}
		return cmp.Or(
			cmp.Compare(b.drainTime(), a.drainTime()),
			cmp.Compare(b.Held, a.Held),
			a.since.Compare(b.since),
			cmp.Compare(a.ID, b.ID),
		)
	})
	var out []uint64
	for _, s := range large {
		if excess <= 0 {
			break
		}
		excess -= s.Held
		out = append(out, s.ID)
		delete(t.states, s.ID)
	}
	return out
}
