package prefill

import (
	"slices"
	"time"
)

// budgetShare is the share of the allowed gap in which the engine reads the prompts
// of a batch. The rest is left for the steps in which the engine generates the tokens
// of an event, and for the network.
const budgetShare = 0.85

// unreadTimeout is the time after which an admitted prompt no longer delays the next
// batch: the engine was expected to read a whole batch within the allowed gap, which
// is at most 500 ms on the users' deployments. A prompt that takes longer waits for a
// slot, or its sender is cut off.
const unreadTimeout = 600 * time.Millisecond

// gapMemory is the time for which the allowed gap of a prompt applies to all prompts
// of the engine: a few times the interval between the prompts of one entryd.
const gapMemory = 10 * time.Second

// Key identifies a prompt.
type Key struct {
	Sender uint64
	ID     uint64 // unique for the sender
}

// Prompt is a prompt that is to be sent to the engine.
type Prompt struct {
	Key       Key
	Tokens    int           // number of tokens
	TokenTime time.Duration // time in which the engine reads a token, zero if unknown
	Gap       time.Duration // allowed gap between two events of a stream, zero if the sender sees no need to pace prompts
	Urgency   int           // 0 is the most urgent
}

// readTime returns the time in which the engine reads the prompt.
func (p *Prompt) readTime() time.Duration { return time.Duration(p.Tokens) * p.TokenTime }

// Queue holds the prompts for one engine. It is not safe for concurrent use.
type Queue struct {
	waiting  []Prompt // in the order in which they are admitted
	admitted []admittedPrompt
	batch    time.Duration // read time of the prompts of the current batch
	full     bool          // a prompt did not fit: the batch admits no more
	gap      time.Duration // least allowed gap of recent prompts, zero if none states one
	gapAt    time.Time     // when gap was stated last
}

type admittedPrompt struct {
	Prompt
	at time.Time
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Add appends a prompt to the prompts of its urgency.
func (q *Queue) Add(now time.Time, p Prompt) {
	if now.Sub(q.gapAt) > gapMemory {
		q.gap = 0
	}
	if p.Gap > 0 && (q.gap == 0 || p.Gap <= q.gap) {
		q.gap, q.gapAt = p.Gap, now
	}
	i := len(q.waiting)
	for i > 0 && q.waiting[i-1].Urgency > p.Urgency {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, p)
}

// Remove removes a prompt, whether it waits or was admitted.
func (q *Queue) Remove(key Key) {
	q.removeFunc(func(k Key) bool { return k == key })
}

// RemoveSender removes all prompts of a sender.
func (q *Queue) RemoveSender(sender uint64) {
	q.removeFunc(func(k Key) bool { return k.Sender == sender })
}

func (q *Queue) removeFunc(match func(Key) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(p Prompt) bool { return match(p.Key) })
	q.admitted = slices.DeleteFunc(q.admitted, func(p admittedPrompt) bool { return match(p.Key) })
}

// Admit returns the prompts that may be sent now, in this order.
func (q *Queue) Admit(now time.Time) []Key {
	if !q.reading(now) {
		q.batch, q.full = 0, false
	}
	if q.full {
		return nil
	}
	var out []Key
	kept := q.waiting[:0]
	for _, p := range q.waiting {
		if !q.fits(&p) {
			q.full = true
			kept = append(kept, p)
			continue
		}
		q.admitted = append(q.admitted, admittedPrompt{Prompt: p, at: now})
		q.batch += p.readTime()
		out = append(out, p.Key)
	}
	q.waiting = kept
	return out
}

// fits reports whether the batch admits the prompt.
func (q *Queue) fits(p *Prompt) bool {
	return q.batch == 0 || q.gap == 0 || q.batch+p.readTime() <= time.Duration(budgetShare*float64(q.gap))
}

// reading reports whether the engine has not read all prompts of the batch.
func (q *Queue) reading(now time.Time) bool {
	for _, p := range q.admitted {
		if now.Sub(p.at) < unreadTimeout {
			return true
		}
	}
	return false
}

// Ahead returns the number of tokens that the engine reads before a prompt: of the
// admitted prompts and of those that wait before it. For a prompt that does not wait
// they are the tokens of all others.
func (q *Queue) Ahead(key Key) int {
	n := 0
	for _, p := range q.admitted {
		if p.Key != key {
			n += p.Tokens
		}
	}
	for _, p := range q.waiting {
		if p.Key == key {
			break
		}
		n += p.Tokens
	}
	return n
}

// Waiting returns the number of prompts that are not admitted yet.
func (q *Queue) Waiting() int { return len(q.waiting) }
