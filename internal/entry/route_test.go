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

// fixedTargets is a fixed list of targets that implements Targets.
type fixedTargets []target.Target

func (f fixedTargets) Targets() []target.Target { return f }

// noSuspects returns the verdict Innocent for every request.
type noSuspects struct{}

func (noSuspects) Classify(time.Time, quarantine.Request) (quarantine.Verdict, []string) {
	return quarantine.Innocent, nil
}

func (noSuspects) Clear(time.Time, quarantine.Request) {}

// addressDialer fails to dial addresses that are not in reachable.
type addressDialer struct {
	next      Dialer
	reachable map[netip.AddrPort]bool
}

func (d addressDialer) Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error) {
	if !d.reachable[addr] {
		return nil, &peer.Error{Op: "dial", Kind: peer.Unreachable}
	}
	return d.next.Dial(ctx, addr)
}

// feesTarget returns a live target of the plain service fees.
func feesTarget(name string, addr netip.AddrPort, epoch uint64) target.Target {
	return target.Target{Name: name, Team: "tessaro", Service: "fees", Region: "lombardy", Addr: addr, Epoch: epoch, Slots: 8}
}

func newTestRouter(targets fixedTargets, reachable ...*fakeTarget) *router {
	d := addressDialer{next: testDialer(), reachable: map[netip.AddrPort]bool{}}
	for _, f := range reachable {
		d.reachable[f.addr] = true
	}
	lt := newLinkTable(d, event.Discard(), func() uint64 { return 1 })
	return &router{
		targets:  targets,
		views:    newViewCache("lombardy", placement.Costs{}, lt),
		links:    lt,
		stats:    newStatsTable(),
		suspects: noSuspects{},
		log:      event.Discard(),
		scope:    tally.NoopScope,
	}
}

// feesCall returns a call of the plain service fees that is not repeatable.
func feesCall(id string) *Call {
	team := configuration.Team{Name: "tessaro", Services: []configuration.Service{{Name: "fees", Kind: configuration.PlainService}}}
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

// answerSubmits answers every attempt that f receives until the test ends, and
// refuses attempts with another epoch.
func answerSubmits(f *fakeTarget, epoch uint64) {
	go func() {
		conn := <-f.conns
		for m := range f.messages {
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
	convey.Convey("Unreachable targets count neither against maxAttempts nor against the retry budget", t, func() {
		reachable := newFakeTarget(t)
		answerSubmits(reachable, 1)
		targets := fixedTargets{feesTarget("reachable", reachable.addr, 1)}
		for i := range 40 {
			addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
			targets = append(targets, feesTarget(fmt.Sprintf("unreachable-%d", i), addr, 1))
		}
		r := newTestRouter(targets, reachable)
		for i := range 20 {
			result := r.Handle(context.Background(), feesCall(fmt.Sprintf("r-%d", i)), time.Now())
			convey.So(result.Outcome, convey.ShouldEqual, outcome.Answered)
		}
	})
}

func TestRouteStale(t *testing.T) {
	convey.Convey("An attempt with a stale epoch is refused and retried at another target", t, func() {
		stale, fresh := newFakeTarget(t), newFakeTarget(t)
		answerSubmits(stale, 2) // registered again, unknown to the router, which still has epoch 1
		answerSubmits(fresh, 1)
		r := newTestRouter(fixedTargets{feesTarget("fresh", fresh.addr, 1), feesTarget("stale", stale.addr, 1)}, stale, fresh)
		for i := range 20 {
			result := r.Handle(context.Background(), feesCall(fmt.Sprintf("r-%d", i)), time.Now())
			convey.So(result.Outcome, convey.ShouldEqual, outcome.Answered)
		}
	})
	convey.Convey("Without another target the outcome is that the request did not run", t, func() {
		stale := newFakeTarget(t)
		answerSubmits(stale, 2)
		r := newTestRouter(fixedTargets{feesTarget("stale", stale.addr, 1)}, stale)
		result := r.Handle(context.Background(), feesCall("r"), time.Now())
		convey.So(result.Outcome, convey.ShouldEqual, outcome.NotRun)
		convey.So(result.Reason, convey.ShouldEqual, outcome.WrongTarget)
	})
}
