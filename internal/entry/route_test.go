package entry

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/placement"
	"github.com/borageusher/borageusher/pkg/quarantine"
	"github.com/borageusher/borageusher/pkg/target"
)

// fixedTargets are the targets that an entry knows.
type fixedTargets []target.Target

func (f fixedTargets) Targets() []target.Target { return f }

// noSuspects finds every request innocent.
type noSuspects struct{}

func (noSuspects) Judge(time.Time, quarantine.Request) (quarantine.Verdict, []string) {
	return quarantine.Innocent, nil
}

func (noSuspects) Clear(time.Time, quarantine.Request) {}

// addressDialer reaches some addresses and no others.
type addressDialer struct {
	next    Dialer
	reached map[netip.AddrPort]bool
}

func (d addressDialer) Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error) {
	if !d.reached[addr] {
		return nil, &peer.Error{Op: "dial", Kind: peer.Unreachable}
	}
	return d.next.Dial(ctx, addr)
}

// feesTarget returns a live target of the plain service fees.
func feesTarget(name string, addr netip.AddrPort, epoch uint64) target.Target {
	return target.Target{Name: name, Team: "tessaro", Service: "fees", Region: "lombardy", Addr: addr, Epoch: epoch, Slots: 8}
}

func newTestRouter(targets fixedTargets, reached ...*fakeTarget) *router {
	d := addressDialer{next: testDialer(), reached: map[netip.AddrPort]bool{}}
	for _, f := range reached {
		d.reached[f.addr] = true
	}
	ls := newLinks(d, event.Discard(), func() uint64 { return 1 })
	return &router{
		targets:  targets,
		views:    newViews("lombardy", placement.Costs{}, ls),
		links:    ls,
		loads:    newLoads(),
		suspects: noSuspects{},
		log:      event.Discard(),
		scope:    tally.NoopScope,
	}
}

// feesCall returns a call of the plain service fees, which may not be repeated.
func feesCall(id string) *Call {
	team := configuration.Team{Name: "tessaro", Services: []configuration.Service{{Name: "fees", Kind: configuration.Plain}}}
	cfg := configuration.New(1, []configuration.Team{team}, nil)
	return &Call{
		ID:            id,
		Method:        "POST",
		Service:       "fees",
		Owner:         "tessaro",
		Team:          cfg.Team("tessaro"),
		Configuration: cfg,
		Deadline:      time.Now().Add(10 * time.Second),
		Response:      &fakeResponder{},
	}
}

// serveAll answers every attempt that f hears until the test ends; an attempt
// with another epoch is refused.
func serveAll(f *fakeTarget, epoch uint64) {
	go func() {
		conn := <-f.conns
		for m := range f.heard {
			s, ok := m.(peer.Submit)
			if !ok {
				continue
			}
			if s.Epoch != epoch {
				_, _ = conn.Send(peer.Refusal{Request: s.Request, Attempt: s.Attempt, Reason: outcome.WrongTarget})
				continue
			}
			_, _ = conn.Send(peer.Head{Request: s.Request, Attempt: s.Attempt, Status: 200})
			_, _ = conn.Send(peer.End{Request: s.Request, Attempt: s.Attempt, Outcome: outcome.Answered})
		}
	}()
}

func TestRouteUnreachable(t *testing.T) {
	convey.Convey("Targets out of reach use up neither the attempts nor the retry budget", t, func() {
		alive := newFakeTarget(t)
		serveAll(alive, 1)
		targets := fixedTargets{feesTarget("alive", alive.addr, 1)}
		for i := range 40 {
			addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
			targets = append(targets, feesTarget(fmt.Sprintf("dead-%d", i), addr, 1))
		}
		r := newTestRouter(targets, alive)
		for i := range 20 {
			result := r.Handle(context.Background(), feesCall(fmt.Sprintf("r-%d", i)), time.Now())
			convey.So(result.Outcome, convey.ShouldEqual, outcome.Answered)
		}
	})
}

func TestRouteStale(t *testing.T) {
	convey.Convey("A route to an earlier process of a target ends in a refusal, and another target answers", t, func() {
		stale, fresh := newFakeTarget(t), newFakeTarget(t)
		serveAll(stale, 2) // registered again since the entry heard of epoch 1
		serveAll(fresh, 1)
		r := newTestRouter(fixedTargets{feesTarget("fresh", fresh.addr, 1), feesTarget("stale", stale.addr, 1)}, stale, fresh)
		for i := range 20 {
			result := r.Handle(context.Background(), feesCall(fmt.Sprintf("r-%d", i)), time.Now())
			convey.So(result.Outcome, convey.ShouldEqual, outcome.Answered)
		}
	})
	convey.Convey("Without another target the caller is told that the request did not run", t, func() {
		stale := newFakeTarget(t)
		serveAll(stale, 2)
		r := newTestRouter(fixedTargets{feesTarget("stale", stale.addr, 1)}, stale)
		result := r.Handle(context.Background(), feesCall("r"), time.Now())
		convey.So(result.Outcome, convey.ShouldEqual, outcome.NotRun)
		convey.So(result.Reason, convey.ShouldEqual, outcome.WrongTarget)
	})
}
