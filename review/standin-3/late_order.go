package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"
)

func init() { cases["late-order"] = lateOrder }

// lateOrders chooses the one order that is carried out late: the first to load an adapter
// at a replica that was full before.
type lateOrders struct {
	delay time.Duration // zero if no order is late

	mu        sync.Mutex
	full      *replica // the replica that was full first
	delivered bool
}

// choose reports whether an order is the one.
func (o *lateOrders) choose(l *replica, order orderBody) bool {
	l.mu.Lock()
	full := order.Operation == "load" && order.Adapter != "" && len(l.loaded) == adapterSlots && !slices.Contains(l.loaded, order.Adapter)
	l.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !full || o.full != nil {
		return false
	}
	o.full = l
	return o.delay > 0
}

// keepBack has the chosen order carried out late, and reports whether an order is that one.
func (o *lateOrders) keepBack(l *replica, order orderBody, expect string) bool {
	if !o.choose(l, order) {
		return false
	}
	l.cluster.record.printf("%s: order %s %s, expected %d, gets no answer and is carried out %s later", l.id, order.Operation, order.Adapter, *order.Expected, o.delay)
	time.AfterFunc(o.delay, func() {
		l.cluster.record.printf("%s: the late order %s %s, expected %d, for instance %s, arrives", l.id, order.Operation, order.Adapter, *order.Expected, expect)
		l.carryOut(order, expect)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.delivered = true
	})
	return true
}

// first returns the replica that was full first, nil if none was.
func (o *lateOrders) first() *replica {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.full
}

// lateOrder has one order go without an answer and be carried out late, after the replica
// has crashed and started again under its id.
func lateOrder(c *cluster, trouble bool) (bool, error) {
	const fronts, sides = 3, 4
	late := &lateOrders{}
	if trouble && os.Getenv("TROUBLE") != "crash" {
		late.delay = 11 * time.Second
	}
	var replicas []*replica
	for i := range sides {
		l := newReplica(c, i)
		l.keepBack, l.events, l.gap = late.keepBack, 5, 80*time.Millisecond
		if err := l.start(true); err != nil {
			return false, err
		}
		replicas = append(replicas, l)
	}
	if err := c.startAll(fronts, sides); err != nil {
		return false, err
	}
	ask := func(adapter string) {
		t := send(c, rand.IntN(fronts), adapter, 15*time.Second, nil)
		c.record.printf("client: %s asks %s for %s: status %d, %d events, complete %t", t.id, t.front, adapter, t.status, len(t.events), t.complete)
	}
	// Adapters are asked for one after the other until the first replica makes room for one.
	for n := 1; n <= sides*adapterSlots+1 && late.first() == nil; n++ {
		ask(fmt.Sprintf("a%d", n))
	}
	l, begin := late.first(), time.Now()
	if l == nil {
		return false, fmt.Errorf("no replica was full")
	}
	l.mu.Lock()
	wanted := slices.Clone(l.loaded[:adapterSlots])
	l.mu.Unlock()
	if trouble && os.Getenv("TROUBLE") != "late" {
		l.mu.Lock()
		l.crash()
		l.mu.Unlock()
		time.Sleep(2 * time.Second)
		if err := l.start(false); err != nil {
			return false, err
		}
	}
	// Then the adapters that the replica had are asked for, no others.
	time.Sleep(time.Until(begin.Add(5 * time.Second)))
	var wg sync.WaitGroup
	for i, adapter := range wanted {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for time.Since(begin) < 14*time.Second {
				ask(adapter)
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	late.mu.Lock()
	defer late.mu.Unlock()
	if late.delay > 0 && !late.delivered {
		return false, fmt.Errorf("the late order was not delivered")
	}
	overfull, cut := 0, 0
	for _, l := range replicas {
		l.mu.Lock()
		overfull, cut = overfull+l.overfull, cut+l.cut
		l.mu.Unlock()
	}
	c.record.printf("orders to load beyond the places: %d; requests that ran at the replica: %d", overfull, cut)
	return overfull > 0, nil
}
