package enginecontroller

import (
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/prefill"
)

// pacer answers the prompts that entryds offer, in the order of a prefill.Queue. It
// does not use the controller's loop, which waits for the engine's responses. It is
// safe for concurrent use.
type pacer struct {
	log      event.Log
	mu       sync.Mutex
	queue    *prefill.Queue
	monitor  prefill.Monitor
	toldAt   time.Time             // when the entryds were last told to pace the prompts
	senders  map[*peer.Conn]uint64 // numbers of the connected entryds that pace their prompts
	conns    map[uint64]*peer.Conn // the inverse of senders
	last     uint64                // number of the last sender
	reported int                   // requests at the engine as of its last report
	sent     int                   // prompts admitted since
}

func newPacer(log event.Log) *pacer {
	return &pacer{log: log, queue: prefill.New(), senders: map[*peer.Conn]uint64{}, conns: map[uint64]*peer.Conn{}}
}

// connect registers an entryd that paces its prompts and tells it to offer them, and
// whether they have to be paced now.
func (p *pacer) connect(now time.Time, c *peer.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.senders[c]; ok {
		return
	}
	p.last++
	p.senders[c], p.conns[p.last] = p.last, c
	_, _ = c.Send(peer.Pacing{}) // after an error the entryd reconnects
	if p.monitor.Paces(now) {
		_, _ = c.Send(peer.Pacing{})
	}
}

// disconnect gives up the prompts of an entryd.
func (p *pacer) disconnect(now time.Time, c *peer.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sender, ok := p.senders[c]
	if !ok {
		return
	}
	delete(p.senders, c)
	delete(p.conns, sender)
	p.queue.RemoveSender(sender)
	p.admit(now)
}

// offer adds a prompt and answers it.
func (p *pacer) offer(now time.Time, c *peer.Conn, m peer.PromptOffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sender, ok := p.senders[c]
	if !ok {
		return // the connection has ended
	}
	key := prefill.Key{Sender: sender, ID: m.ID}
	prompt := prefill.Prompt{Key: key, Tokens: m.Tokens, TokenTime: m.TokenTime, Gap: m.Gap, Urgency: m.Urgency}
	p.monitor.ObservePrompt(now, prompt)
	p.queue.Add(now, prompt)
	if !p.admit(now)[key] {
		p.answer(key, false)
	}
}

// done removes a prompt.
func (p *pacer) done(now time.Time, c *peer.Conn, id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := prefill.Key{Sender: p.senders[c], ID: id}
	p.monitor.ObserveRead(now, key)
	p.queue.Remove(key)
	p.admit(now)
}

// recordLate records a stream with an event after a longer gap than allowed.
func (p *pacer) recordLate(now time.Time, allowed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	paced := p.monitor.Paces(now)
	p.monitor.ObserveLate(now, allowed)
	if !paced && p.monitor.Paces(now) {
		p.log.Event(event.PacingStarted).Int("entries", len(p.senders)).Send()
	}
	p.tell(now)
}

// tell tells the entryds from time to time that prompts have to be paced, if they have
// to be. The caller holds mu.
func (p *pacer) tell(now time.Time) {
	if !p.monitor.Paces(now) || now.Sub(p.toldAt) < peer.PacingInterval {
		return
	}
	p.toldAt = now
	for c := range p.senders {
		_, _ = c.Send(peer.Pacing{}) // after an error the entryd reconnects
	}
}

// observe records the number of requests that the engine reports, and admits the
// prompts that no longer have to wait.
func (p *pacer) observe(now time.Time, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported, p.sent = requests, 0
	p.tell(now)
	p.admit(now)
}

// admit answers the prompts that may be sent now, and returns them. The caller
// holds mu.
func (p *pacer) admit(now time.Time) map[prefill.Key]bool {
	admitted := map[prefill.Key]bool{}
	for _, key := range p.queue.Admit(now) {
		p.answer(key, true)
		p.sent++
		admitted[key] = true
	}
	return admitted
}

// answer sends the answer to an offer. The caller holds mu.
func (p *pacer) answer(key prefill.Key, admitted bool) {
	c := p.conns[key.Sender]
	_, _ = c.Send(peer.PromptAnswer{ // after an error the entryd reconnects
		ID:       key.ID,
		Admitted: admitted,
		Ahead:    p.queue.Ahead(key),
		Requests: p.reported + p.sent,
	})
}
