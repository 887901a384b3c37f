package gateway

import (
	"net"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/socket"
	"github.com/borageusher/borageusher/internal/upstream"
	"github.com/borageusher/borageusher/pkg/slowreader"
)

// Sizes of the connections' buffers in the kernel where the memory is limited. Without
// them the kernel lets a queue grow to several MB for a reader that does not read. They
// bound the throughput of a connection to about their size for each round trip.
var (
	// callerBuffers allow some MB/s to callers, which are 1 ms away.
	callerBuffers = socket.Buffers{Receive: 16 << 10, Send: 16 << 10}
	// targetBuffers allow half a MB/s from a target and 1 MB/s to it in another region,
	// 30 ms away. Usual responses have about 1 KiB and usual requests some tens of KiB;
	// all traffic between regions has 7.5 MB/s.
	targetBuffers = socket.Buffers{Receive: 32 << 10, Send: 64 << 10}
)

// limitCallerBuffers sets the buffers of the connections that ln accepts.
func limitCallerBuffers(ln *net.TCPListener) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	return callerBuffers.Set(raw)
}

// slowReaders keeps the bytes in the kernel's queues within the memory for them.
type slowReaders struct {
	callers   *callerConns
	client    *upstream.Client
	admission *admissionControl
	tracker   *slowreader.Tracker
	scope     tally.Scope
}

// check measures the queues and resets the connections of the slowest callers if there is
// no memory for them.
func (s *slowReaders) check(now time.Time) {
	conns := map[uint64]*callerConn{}
	var readers []slowreader.Reader
	byOwner := s.client.Queued()
	var toCallers, fromCallers, targets int64
	for _, n := range byOwner {
		targets += n
	}
	for _, c := range s.callers.list() {
		received, unsent := socket.Queued(c.raw)
		toCallers += unsent
		fromCallers += received
		if unsent > 0 {
			conns[c.id] = c
			readers = append(readers, slowreader.Reader{ID: c.id, Held: unsent + byOwner[c.id], Taken: c.written.Load() - unsent})
		}
	}
	s.gauge("callers", toCallers+fromCallers)
	s.gauge("targets", targets)
	excess := s.admission.recordQueues(toCallers + fromCallers + targets)
	s.tracker.Observe(now, readers)
	for _, id := range s.tracker.Drop(now, excess) {
		c := conns[id]
		_, unread := socket.Queued(c.raw)
		c.drop(callerDropped, unread)
		_ = c.Close() // ends the response as incomplete
	}
}

func (s *slowReaders) gauge(of string, n int64) {
	s.scope.Tagged(map[string]string{"of": of}).Gauge("socket_queue_bytes").Update(float64(n))
}
