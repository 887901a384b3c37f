package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-origins"] = lostOrigins }

// takeUpCounts are the figures of the rule.
type takeUpCounts struct {
	mu                  sync.Mutex
	newStreams, begun   int // at machines in touch, since the disruption
	takenUp, continued  int // at machines in touch
	complete, truncated int
	wrong               int // continued at the wrong event
}

// lostOrigins kills one entry machine's process and all those of the side machines at the
// same moment, while streams are under way. The clients of the killed entry take their
// streams up at the others.
func lostOrigins(c *cluster, trouble bool) (bool, error) {
	const fronts, sides, clients = 5, 3, 110
	for i := range sides {
		if err := newReplica(c, i).start(true); err != nil {
			return false, err
		}
	}
	if err := c.startAll(fronts, sides); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	counts := &takeUpCounts{}
	begin := time.Now()
	disruption, end := begin.Add(10*time.Second), begin.Add(22*time.Second)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 5 * time.Second / clients)
			for time.Now().Before(end) {
				streamOnce(c, counts, i%fronts, fronts, disruption)
			}
		}()
	}
	time.Sleep(time.Until(disruption))
	if trouble {
		names := []string{"front-1"}
		for i := range sides {
			if os.Getenv("TROUBLE") != "entry" { // with it, only the entry is killed
				names = append(names, fmt.Sprintf("side-%d", i+1))
			}
		}
		c.signal(syscall.SIGKILL, names...)
	}
	wg.Wait()
	n := counts
	c.record.printf("since the disruption, at machines in touch: %d new streams, of which %d began; %d taken up, of which %d went on (%d at a wrong event)",
		n.newStreams, n.begun, n.takenUp, n.continued, n.wrong)
	if n.newStreams < 12 || 2*n.begun < n.newStreams {
		return false, fmt.Errorf("too few new streams began")
	}
	broken := n.takenUp >= 12 && float64(n.continued)/float64(n.takenUp) < 0.5*float64(n.begun)/float64(n.newStreams)
	return broken, nil
}

// maxTakeUps is how often a client takes one stream up.
const maxTakeUps = 3

// streamOnce has a client ask for a stream, and take it up at other machines if its
// connection breaks.
func streamOnce(c *cluster, n *takeUpCounts, front, fronts int, disruption time.Time) {
	const within = 15 * time.Second
	start := time.Now()
	first := send(c, c.rotation(front), "a1", within, nil)
	c.record.printf("client: %s to %s: status %d, %d events, complete %t, %v", first.id, first.front, first.status, len(first.events), first.complete, first.err)
	if first.sent.After(disruption) && c.inTouch(first.front, first.sent) {
		n.mu.Lock()
		n.newStreams++
		if len(first.events) > 0 {
			n.begun++
		}
		n.mu.Unlock()
	}
	if first.complete || len(first.events) == 0 {
		time.Sleep(200 * time.Millisecond) // a refused client does not press
		return
	}
	last, counted, continued := first.lastID, false, false
	for i := range maxTakeUps {
		left := within - time.Since(start)
		if left <= 0 {
			break
		}
		at := c.rotation((front + 1 + i) % fronts)
		t := send(c, at, "a1", left, map[string]string{"Last-Event-Id": strconv.Itoa(last), "Resumes": first.id})
		c.record.printf("client: %s takes %s up at %s after event %d: status %d, retry after %s, %d events, complete %t, %v",
			t.id, first.id, t.front, last, t.status, t.retryAfter, len(t.events), t.complete, t.err)
		counted = counted || c.inTouch(t.front, t.sent)
		if len(t.events) > 0 {
			continued = true
			if t.lastID-len(t.events) != last {
				n.mu.Lock()
				n.wrong++
				n.mu.Unlock()
			}
			last = t.lastID
			if t.complete {
				break
			}
		}
		time.Sleep(min(max(t.retryAfter, 50*time.Millisecond), left/3))
	}
	if counted {
		n.mu.Lock()
		n.takenUp++
		if continued {
			n.continued++
		}
		n.mu.Unlock()
	}
}
