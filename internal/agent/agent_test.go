package agent

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/engine"
	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/dispatch"
	"github.com/borageusher/borageusher/pkg/outcome"
	"github.com/borageusher/borageusher/pkg/target"
)

// fakeEngine is an Engine whose runs return the given results in order.
type fakeEngine struct {
	mu        sync.Mutex
	results   []error // errors of the next runs; nil, or none left, for a response
	body      string
	ctype     string
	runs      []engine.Request
	loads     []adapter.ID
	loadErr   error
	cancelled int
	blocked   chan struct{} // if set, runs send to it and block until their context is done
}

func (e *fakeEngine) Load(_ context.Context, id adapter.ID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads = append(e.loads, id)
	return e.loadErr
}

func (e *fakeEngine) Unload(context.Context, adapter.ID) error { return nil }

func (e *fakeEngine) State(context.Context) (engine.State, error) {
	return engine.State{}, &engine.Error{Op: "state", Kind: engine.Uncertain}
}

func (e *fakeEngine) Cancel(context.Context, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	return nil
}

func (e *fakeEngine) Run(ctx context.Context, r engine.Request) (*engine.Response, error) {
	if e.blocked != nil {
		e.blocked <- struct{}{}
		<-ctx.Done()
		return nil, &engine.Error{Op: "run", Kind: engine.Uncertain, Err: ctx.Err()}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, r)
	var err error
	if len(e.results) > 0 {
		err, e.results = e.results[0], e.results[1:]
	}
	if err != nil {
		return nil, err
	}
	return &engine.Response{Status: 200, ContentType: e.ctype, Body: io.NopCloser(strings.NewReader(e.body))}, nil
}

// fixedConfiguration is a Configurations that never changes.
type fixedConfiguration struct{ cfg *configuration.Configuration }

func (f fixedConfiguration) Current() *configuration.Configuration { return f.cfg }

// harness holds an agent without its event loop: the test applies the events.
type harness struct {
	agent  *Agent
	engine *fakeEngine
	conn   *fakeConn
	now    time.Time
}

func newHarness() *harness {
	cfg := configuration.New(1, []configuration.Team{{
		Name:     "own",
		Services: []configuration.Service{{Name: "s", Kind: configuration.ModelService, Base: "b"}},
	}}, nil)
	eng := &fakeEngine{body: "{}", ctype: "application/json"}
	h := &harness{engine: eng, conn: &fakeConn{}, now: time.Now()}
	h.agent = New(Options{
		Self:           target.Target{Name: "t1", Team: "own", Service: "s", Epoch: 3, Slots: 2},
		Limits:         dispatch.Limits{Owner: "own", Slots: 2, Adapters: 2, Queue: 4},
		Engine:         eng,
		Configurations: fixedConfiguration{cfg: cfg},
		Log:            event.Discard(),
		Scope:          tally.NoopScope,
	})
	h.apply(connected{conn: h.conn, session: h.conn})
	h.apply(configured{cfg: cfg})
	h.apply(engineReported{state: engine.State{BootID: 1}})
	return h
}

// apply processes one event as the event loop does.
func (h *harness) apply(e loopEvent) {
	h.agent.pauseDetector.tick(time.Now())
	e.apply(context.Background(), h.agent, h.now)
	h.agent.perform(context.Background(), h.agent.next(h.now))
}

// next waits for the next event posted by the agent's goroutines and applies it.
func (h *harness) next() loopEvent {
	e := <-h.agent.events
	h.apply(e)
	return e
}

func (h *harness) lastSent() peer.Message {
	if len(h.conn.sent) == 0 {
		return nil
	}
	return h.conn.sent[len(h.conn.sent)-1]
}

func newSubmit(id string) peer.Submit {
	return peer.Submit{
		Request: id, Attempt: 1, Revision: 1, Epoch: 3, Team: "own", Owner: "own", Service: "s",
		Adapter: adapter.ID{Team: "own", Ref: adapter.Ref{Name: "a", Version: 2}},
		Method:  "POST", Path: "/v1/completions", StartWithin: time.Second,
	}
}

// run submits an attempt and applies events until the attempt has finished.
func (h *harness) run(s peer.Submit) {
	h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: s})
	for range 10 {
		if _, ok := h.next().(finished); ok {
			return
		}
	}
	panic("the request did not finish")
}

func TestAgentVersion(t *testing.T) {
	convey.Convey("A targetd with an older revision than the request's runs the version named in the request", t, func() {
		h := newHarness()
		s := newSubmit("r")
		s.Revision = 9
		s.Adapter.Ref.Version = 7
		h.run(s)
		convey.So(h.engine.loads, convey.ShouldResemble, []adapter.ID{s.Adapter})
		convey.So(h.lastSent().(peer.End).Outcome, convey.ShouldEqual, outcome.Answered)
	})
	convey.Convey("An attempt sent over a stale route is refused with reason WrongTarget", t, func() {
		for _, change := range []func(*peer.Submit){
			func(s *peer.Submit) { s.Epoch = 2 },
			func(s *peer.Submit) { s.Epoch = 4 },
			func(s *peer.Submit) { s.Owner = "other" },
			func(s *peer.Submit) { s.Service = "other" },
		} {
			h := newHarness()
			s := newSubmit("r")
			change(&s)
			h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: s})
			convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.WrongTarget)
			convey.So(h.engine.runs, convey.ShouldBeEmpty)
		}
	})
}

func TestAgentEngineRestart(t *testing.T) {
	notResident := &engine.Error{Op: "run", Kind: engine.NotResident}
	convey.Convey("If the engine has lost the adapter, it is loaded again and the request runs", t, func() {
		h := newHarness()
		h.engine.results = []error{notResident}
		h.run(newSubmit("r"))
		convey.So(len(h.engine.loads), convey.ShouldEqual, 2)
		convey.So(h.lastSent().(peer.End).Outcome, convey.ShouldEqual, outcome.Answered)
	})
	convey.Convey("If the engine loses the adapter repeatedly, the request is refused after maxRequeues", t, func() {
		h := newHarness()
		h.engine.results = []error{notResident, notResident, notResident, notResident, notResident}
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		for h.lastSent() == nil {
			h.next()
		}
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.LoadFailed)
		convey.So(len(h.engine.runs), convey.ShouldEqual, maxRequeues+1)
	})
	convey.Convey("Requests wait for a restarting engine and are refused after engineStartTimeout", t, func() {
		h := newHarness()
		h.engine.results = []error{&engine.Error{Op: "run", Kind: engine.NotStarted}}
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		h.next() // loaded
		h.next() // not run
		convey.So(h.lastSent(), convey.ShouldBeNil)
		convey.So(h.agent.dispatcher.Report().Queued, convey.ShouldEqual, 1)
		h.apply(engineReported{state: engine.State{BootID: 2}})
		h.next() // loaded
		h.next() // finished
		convey.So(h.lastSent().(peer.End).Outcome, convey.ShouldEqual, outcome.Answered)

		h.engine.results = []error{&engine.Error{Op: "run", Kind: engine.NotStarted}}
		late := newSubmit("r2")
		late.StartWithin = time.Minute
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: late})
		h.next()
		h.now = h.now.Add(engineStartTimeout + time.Millisecond)
		h.apply(noopEvent{})
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.EngineFailed)
	})
	convey.Convey("No load or request starts before the engine's own list of adapters is known", t, func() {
		h := newHarness()
		h.agent.engineUp = false
		h.agent.engineDownSince = h.now
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		convey.So(h.engine.loads, convey.ShouldBeEmpty)
		h.apply(engineReported{state: engine.State{BootID: 1, Loaded: []string{"own/a@2"}}, asOf: h.agent.dispatcher.Generation()})
		h.next()
		convey.So(h.engine.loads, convey.ShouldBeEmpty)
		convey.So(h.lastSent().(peer.End).Outcome, convey.ShouldEqual, outcome.Answered)
	})
}

// noopEvent is an event without effect. It makes the harness carry out the
// dispatcher's actions.
type noopEvent struct{}

func (noopEvent) apply(context.Context, *Agent, time.Time) {}

func TestAgentReplaced(t *testing.T) {
	convey.Convey("A targetd whose order was rejected by fencing takes no more work", t, func() {
		h := newHarness()
		h.engine.loadErr = &engine.Error{Op: "load", Kind: engine.Fenced}
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		h.next() // replaced
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.Draining)
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r2")})
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.WrongTarget)
		convey.So(h.agent.dispatcher.Report().Draining, convey.ShouldBeTrue)
	})
	convey.Convey("A targetd that reads a higher fencing token takes no more work, also if the engine does not enforce it", t, func() {
		h := newHarness()
		h.apply(engineReported{state: engine.State{BootID: 1, FencingToken: 4}})
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.WrongTarget)
		convey.So(h.engine.loads, convey.ShouldBeEmpty)
	})
}

func TestAgentResume(t *testing.T) {
	resume := func(age time.Duration) peer.Resume {
		return peer.Resume{Request: "r", Attempt: 1, StartWithin: time.Second, Age: age}
	}
	convey.Convey("A resume of an attempt that never arrived is refused, and so is its late submit", t, func() {
		h := newHarness()
		h.apply(resumed{conn: h.conn, resume: resume(time.Second)})
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.TargetLost)
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.TargetLost)
		convey.So(h.engine.runs, convey.ShouldBeEmpty)
	})
	convey.Convey("An attempt that ran is not reported as not run after its answer was removed", t, func() {
		for _, makeRemovable := range []func(*harness){
			func(h *harness) { h.apply(acked{key: testKey, ended: true}) },
			func(h *harness) { h.apply(disconnected{conn: h.conn}) },
		} {
			h := newHarness()
			h.run(newSubmit("r"))
			makeRemovable(h)
			h.agent.cleanup(time.Now().Add(2 * resumeWindow))
			convey.So(h.agent.attempts, convey.ShouldBeEmpty)
			late := &fakeConn{}
			r := resume(20 * time.Second)
			r.Next = 5
			h.apply(resumed{conn: late, resume: r})
			convey.So(late.sent, convey.ShouldResemble, []peer.Message{
				peer.End{Request: "r", Attempt: 1, Parts: 5, Reason: outcome.TargetLost},
			})
		}
	})
	convey.Convey("The outcome of an unknown attempt older than historyRetention is unknown", t, func() {
		h := newHarness()
		h.apply(resumed{conn: h.conn, resume: resume(historyRetention)})
		convey.So(h.lastSent().(peer.End).Outcome, convey.ShouldEqual, outcome.Unknown)
	})
	convey.Convey("A resume of a refused attempt is refused after its answer was removed", t, func() {
		h := newHarness()
		s := newSubmit("r")
		s.Epoch = 1
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: s})
		h.apply(acked{key: testKey, ended: true})
		h.agent.cleanup(h.now)
		h.apply(resumed{conn: h.conn, resume: resume(time.Second)})
		convey.So(h.lastSent().(peer.Refusal).Reason, convey.ShouldEqual, outcome.TargetLost)
	})
}

func TestAgentCancel(t *testing.T) {
	convey.Convey("A cancel before the start of the answer cancels the run at the engine", t, func() {
		h := newHarness()
		h.engine.blocked = make(chan struct{})
		h.apply(submitted{conn: h.conn, receivedAt: h.now, submit: newSubmit("r")})
		h.next() // loaded; the run starts
		<-h.engine.blocked
		h.apply(cancelled{key: testKey})
		h.next() // finished
		convey.So(h.engine.cancelled, convey.ShouldEqual, 1)
		convey.So(h.lastSent(), convey.ShouldResemble, peer.End{Request: "r", Attempt: 1, Reason: outcome.Cancelled})
	})
}

func TestAgentStreams(t *testing.T) {
	convey.Convey("An event stream without its terminator ends with an unknown outcome", t, func() {
		h := newHarness()
		h.engine.ctype = "text/event-stream"
		h.engine.body = "data: {}\n\n"
		h.run(newSubmit("r"))
		convey.So(h.lastSent(), convey.ShouldResemble,
			peer.End{Request: "r", Attempt: 1, Parts: 1, Reason: outcome.EngineFailed})
		h.engine.body = "data: {}\n\ndata: [DONE]\n\n"
		h.run(newSubmit("r2"))
		convey.So(h.lastSent().(peer.End).Outcome, convey.ShouldEqual, outcome.Answered)
	})
}
