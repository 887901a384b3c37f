package gateway

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// entryDecoder decodes entries of the form "SERVICE STATE STARTED ADDRESS".
type entryDecoder struct{ textDecoder }

func (d entryDecoder) Replica(id string, b []byte) (target.Replica, error) {
	var service, state, started, addr string
	if _, err := fmt.Sscan(string(b), &service, &state, &started, &addr); err != nil {
		return target.Replica{}, err
	}
	r, err := d.textDecoder.Replica(id, []byte(state+" "+started+" "+addr))
	r.Service = service
	return r, err
}

// listedFleet is a fleet with the sink of its targets, under a configuration that names
// the services s and b.
type listedFleet struct {
	*Fleet
	sink *replicaSink
	now  time.Time
}

func newListedFleet() *listedFleet {
	f := NewFleet("a", "north", map[string]string{"a": "north"}, event.Discard())
	f.setConfiguration(routing.New(1, nil, []routing.Service{{Name: "s"}, {Name: "b"}}, routing.Limits{}))
	return &listedFleet{Fleet: f, sink: &replicaSink{entryDecoder{}, f, event.Discard()}, now: time.Now()}
}

// entries returns objects from pairs of a name and a value. An empty value is that of a
// removed object.
func entries(pairs ...string) []objects.Object {
	var out []objects.Object
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, objects.Object{Name: pairs[i], Value: []byte(pairs[i+1]), Deleted: pairs[i+1] == ""})
	}
	return out
}

func (l *listedFleet) list(pairs ...string) {
	l.sink.Replace(l.now, entries(pairs...), time.Time{}, false)
}
func (l *listedFleet) change(pairs ...string) { l.sink.Apply(l.now, entries(pairs...), time.Time{}) }

// chosen returns the target that a call of a service is sent to first, empty for none.
func (l *listedFleet) chosen(service string) string {
	c := callFor("")
	c.service, c.model = service, ""
	sel, ok := l.choose(l.now, c)
	if !ok {
		return ""
	}
	return sel.replica.ID
}

// Entries at one address: a target of s, and another writer's entries of a service that
// the configuration doesn't name and of one that it names, with later starts.
const (
	soundEntry   = "s ready 5 127.0.0.1:1"
	unnamedEntry = "gauge ready 9 127.0.0.1:1"
	namedEntry   = "b ready 9 127.0.0.1:1"
)

// TestEntryOfOtherServiceDisplacesTarget guards against an entry of another service that
// removes the target at the address which it names.
func TestEntryOfOtherServiceDisplacesTarget(t *testing.T) {
	for name, other := range map[string]string{"a service that is not named": unnamedEntry, "another service in force": namedEntry} {
		convey.Convey("Given a target and a later entry of "+name+" at its address", t, func() {
			l := newListedFleet()
			convey.Convey("the target is used if the entry is listed before it", func() {
				l.list("a", other, "x", soundEntry)
			})
			convey.Convey("the target is used if the entry is listed after it", func() {
				l.list("x", soundEntry, "y", other)
			})
			convey.Convey("the target is used if the entry is written before it starts", func() {
				l.list("y", other)
				l.change("x", soundEntry)
			})
			convey.Convey("the target is used if the entry is written while it runs", func() {
				l.list("x", soundEntry)
				l.change("y", other)
			})
			convey.Convey("the target is used if the entry is written between two of its starts", func() {
				l.list("w", "s ready 4 127.0.0.1:1")
				l.change("y", other)
				l.change("x", soundEntry)
			})
			convey.Convey("the target is used if the entry drains", func() {
				l.list("x", soundEntry, "y", other)
				l.change("y", "b draining 9 127.0.0.1:1")
			})
			convey.Convey("the target is used after the entry was removed", func() {
				l.list("x", soundEntry, "y", other)
				l.change("y", "")
			})
			convey.Convey("the target is used after its service was removed and named again", func() {
				l.list("x", soundEntry, "y", other)
				l.setConfiguration(routing.New(2, nil, []routing.Service{{Name: "b"}}, routing.Limits{}))
				l.list("x", soundEntry, "y", other)
				l.setConfiguration(routing.New(3, nil, []routing.Service{{Name: "s"}, {Name: "b"}}, routing.Limits{}))
			})
			convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		})
	}
	convey.Convey("A target of a service that is named after its entry was written is used", t, func() {
		l := newListedFleet()
		l.list("x", soundEntry, "y", unnamedEntry)
		l.change("x", "")
		l.setConfiguration(routing.New(2, nil, []routing.Service{{Name: "gauge"}}, routing.Limits{}))
		convey.So(l.chosen("gauge"), convey.ShouldEqual, "y")
		convey.So(l.chosen("s"), convey.ShouldBeEmpty)
	})
	convey.Convey("A target that started again under another id replaces the earlier start, whichever is listed first", t, func() {
		l := newListedFleet()
		l.list("w", "s ready 4 127.0.0.1:1", "x", soundEntry)
		convey.So(l.targets, convey.ShouldHaveLength, 1)
		convey.So(l.chosen("s"), convey.ShouldEqual, "x")
		l = newListedFleet()
		l.list("v", soundEntry, "w", "s ready 4 127.0.0.1:1")
		convey.So(l.targets, convey.ShouldHaveLength, 1)
		convey.So(l.chosen("s"), convey.ShouldEqual, "v")
	})
}

// rejectOthers returns a step that rejects the requests meant for another target than id,
// and answers the others.
func rejectOthers(id string) step {
	ok, misdirected := respond(http.StatusOK, "from "+id, signed), respond(http.StatusMisdirectedRequest, "", "Not-Run: yes", "Instance: "+id)
	return func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Instance") != id {
			return misdirected(c, r)
		}
		return ok(c, r)
	}
}

// addEntry adds the entry of a target that starts at the given time.
func (tg *testGateway) addEntry(id, service string, addr netip.AddrPort, started int64) {
	tg.fleet.mu.Lock()
	defer tg.fleet.mu.Unlock()
	tg.fleet.upsert(time.Now(), target.Replica{ID: id, Service: service, Addr: addr, Zone: "a", Slots: 4, State: target.Live, Started: time.UnixMilli(started)})
}

// TestRequestsBesideEntryOfOtherService guards against refusals by a gateway whose targets
// are all named by entries of another writer.
func TestRequestsBesideEntryOfOtherService(t *testing.T) {
	convey.Convey("Requests are served while an entry of another service has the address of the only target", t, func() {
		ft := newFakeTarget(t, "t1", rejectOthers("t1"))
		tg := newTestGateway(t, ft)
		for _, service := range []string{"gauge", "b"} {
			tg.addEntry("x-"+service, service, ft.addr, 9)
			r := tg.call(t, "/unsafe/1")
			convey.So(r.status, convey.ShouldEqual, http.StatusOK)
			convey.So(r.body, convey.ShouldEqual, "from t1")
		}
	})
}
