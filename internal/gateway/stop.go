package gateway

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/borageusher/borageusher/internal/event"
)

// Times of a graceful shutdown.
const (
	// drainDelay is how long all requests are still served after readiness is
	// withdrawn: two failed probes of the load balancer, one a second, plus one
	// second.
	drainDelay = 3 * time.Second
	// stopMargin is the part of the platform's stop timeout that is reserved for
	// the exit of the process.
	stopMargin = 500 * time.Millisecond
	// answerMargin is the part of the stop timeout before stopMargin in which the
	// requests that are still in progress are answered.
	answerMargin = 100 * time.Millisecond
)

// stop waits for a signal, lets the requests in progress finish within the stop
// timeout, and closes the callers' connections.
func (p *process) stop(ln net.Listener, signals <-chan os.Signal) error {
	sig := <-signals
	start := time.Now()
	end := start.Add(time.Duration(p.stopWithin.Load()) - stopMargin)
	p.gateway.beginStop(end)
	p.log.Event(event.Stopping).Stringer("signal", sig).Int64("requests", p.gateway.inProgress.Load()).Send()
	time.Sleep(drainDelay)
	p.shutDown(ln, end)
	return nil
}

// beginStop has callers close their connections and limits the attempts that begin from
// now on to those that can end until answerMargin before end.
func (g *Gateway) beginStop(end time.Time) {
	end = end.Add(-answerMargin)
	g.endsAt.Store(&end)
	g.stopping.Store(true)
}

// Times that an attempt needs to end before a stop.
const (
	// stopMeanDurations is the time in mean response times of the service. Most responses
	// take less.
	stopMeanDurations = 2
	// stopObjectives is the time in objectives of the route, for a service that has not
	// responded yet.
	stopObjectives = 1
)

// mayEnd reports whether an attempt that begins now can end before the stop of the
// process, if that is stopping. One that can't might run without an answer.
func (g *Gateway) mayEnd(now time.Time, c *call) bool {
	end := g.endsAt.Load()
	if end == nil {
		return true
	}
	needed := stopMeanDurations * g.Fleet.meanDuration(c.service)
	if needed == 0 {
		needed = stopObjectives * c.route.Objective
	}
	return !now.Add(needed).After(*end)
}

// shutDown rejects further requests, closes the listener, and until deadline each
// connection on which no request is in progress. http.Server.Shutdown closes
// connections on which a request has begun to arrive, and drops requests that are read
// later.
func (p *process) shutDown(ln net.Listener, deadline time.Time) {
	p.gateway.closing.Store(true)
	_ = ln.Close() // new connections go to other processes
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	timer := time.AfterFunc(time.Until(deadline)-answerMargin, p.gateway.endCalls)
	defer timer.Stop()
	if !p.callers.drain(ctx) {
		p.log.Event(event.StopTimedOut).Int64("requests", p.gateway.inProgress.Load()).Send()
	}
	p.log.Event(event.Stopped).Send()
}
