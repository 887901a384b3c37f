package gossip

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/members"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/internal/revision"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/target"
)

// unavailableStore is an object API whose calls all fail.
type unavailableStore struct{}

func (unavailableStore) Get(context.Context, objects.ObjectKind, string) (objects.Object, error) {
	return objects.Object{}, &objects.Error{Op: "get", Kind: objects.Unavailable}
}

func (unavailableStore) Watch(context.Context, objects.ObjectKind, objects.Version, time.Duration) ([]objects.Object, objects.Version, error) {
	return nil, 0, &objects.Error{Op: "watch", Kind: objects.Unavailable}
}

// process is a simulated process whose controllers never reach the object API.
type process struct {
	self           target.Target
	node           *Node
	configurations *revision.Controller
	members        *members.Controller
	scope          tally.TestScope
}

var key = peer.Key("gossip-test-peer-key")

// newProcess starts a process that listens for peers.
func newProcess(ctx context.Context, t *testing.T, name, region, zone string) *process {
	t.Helper()
	p := &process{scope: tally.NewTestScope("", nil)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(ctx, w, r) }))
	t.Cleanup(srv.CloseClientConnections)
	p.self = target.Target{Name: name, Region: region, Zone: zone, Addr: netip.MustParseAddrPort(srv.Listener.Addr().String()), Epoch: 1}
	id := peer.Identity{Name: name, Role: "targetd", Region: region, Zone: zone}
	p.configurations = revision.New(unavailableStore{}, event.Discard())
	p.members = members.New(nil, event.Discard())
	p.node = New(Options{
		Self:           id,
		Configurations: p.configurations,
		Members:        p.members,
		Dialer:         &peer.Dialer{Self: id, Key: key, Client: http.DefaultClient},
		Log:            event.Discard(),
		Scope:          p.scope,
	})
	p.configurations.OnChange(func(*configuration.Configuration) { p.node.Announce() })
	p.members.OnChange(p.node.Announce)
	return p
}

func (p *process) serve(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	conn, err := peer.Accept(w, r, p.node.opts.Self, key)
	if err != nil {
		return
	}
	detach := p.node.Attach(conn)
	defer detach()
	_ = conn.Run(ctx, p.node.Heartbeat, func(m peer.Message) { p.node.Handle(conn, m) })
}

// newFleet starts n processes in each of four zones, two per region. Each
// process has the registrations of all others.
func newFleet(ctx context.Context, t *testing.T, n int) []*process {
	t.Helper()
	var fleet []*process
	for z, zone := range []string{"milano-a", "milano-b", "ploiesti-a", "bucuresti-b"} {
		region := []string{"lombardy", "lombardy", "muntenia", "muntenia"}[z]
		for i := range n {
			fleet = append(fleet, newProcess(ctx, t, fmt.Sprintf("%s-%d", zone, i), region, zone))
		}
	}
	var all []objects.Object
	for i, p := range fleet {
		all = append(all, objects.Object{Name: p.self.Name, Version: objects.Version(i + 1), Value: registration.Encode(p.self)})
	}
	for _, p := range fleet {
		p.members.Merge(0, all, objects.Version(len(all)))
		go p.node.Run(ctx)
	}
	return fleet
}

// adoptRevision puts a revision with sections of about the given number of
// bytes in force at one process, as a watch of the object API does.
func adoptRevision(p *process, revision uint64, bytes int) error {
	var adapters []configuration.Adapter
	for i := range bytes / 50 {
		adapters = append(adapters, configuration.Adapter{Team: "tessaro", Name: fmt.Sprintf("adapter-%d-%d", revision, i), Service: "s"})
	}
	sections := configuration.Split(configuration.New(revision, nil, adapters))
	root := configuration.NewRoot(revision, "id", "op", sections)
	return p.configurations.Adopt(context.Background(), configuration.EncodeRoot(root), fixedSource(sections))
}

// fixedSource is a source with the sections of one revision.
type fixedSource []configuration.Section

func (fixedSource) Name() string { return "test" }

func (s fixedSource) Sections(context.Context, []configuration.SectionRef) ([]configuration.Section, error) {
	return s, nil
}

// waitForRevision waits until all processes have at least a revision. It
// returns the time that this took, and false if it took longer than within.
func waitForRevision(fleet []*process, revision uint64, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within {
		all := true
		for _, p := range fleet {
			all = all && p.configurations.Revision() >= revision
		}
		if all {
			return time.Since(began), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return within, false
}

// propagationTimeout bounds the time until a change has reached all processes.
const propagationTimeout = 9 * time.Second

func TestRevisionReachesAll(t *testing.T) {
	convey.Convey("In a fleet whose object API is unavailable", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet := newFleet(ctx, t, 5)

		convey.Convey("a revision adopted by one process comes into force everywhere", func() {
			convey.So(adoptRevision(fleet[0], 1, 1000), convey.ShouldBeNil)
			_, ok := waitForRevision(fleet, 1, propagationTimeout)
			convey.So(ok, convey.ShouldBeTrue)

			convey.Convey("and a survey by any process finds all of them", func() {
				r := fleet[7].node.Survey(ctx, 1, propagationTimeout)
				convey.So(r.Processes, convey.ShouldHaveLength, len(fleet))
				convey.So(r.Behind, convey.ShouldBeEmpty)
				convey.So(r.Unseen, convey.ShouldBeEmpty)
			})
		})
		convey.Convey("of two revisions adopted concurrently the newer one comes into force everywhere", func() {
			var wg sync.WaitGroup
			for i, p := range []*process{fleet[0], fleet[11]} {
				wg.Add(1)
				go func() {
					defer wg.Done()
					_ = adoptRevision(p, uint64(i+1), 1000)
				}()
			}
			wg.Wait()
			_, ok := waitForRevision(fleet, 2, propagationTimeout)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("a changed registration merged by one process reaches all", func() {
			gone := fleet[3].self
			gone.State = target.Gone
			v := objects.Version(len(fleet))
			fleet[0].members.Merge(v, []objects.Object{{Name: gone.Name, Version: v + 1, Value: registration.Encode(gone)}}, v+1)
			began := time.Now()
			missing := len(fleet)
			for missing > 0 && time.Since(began) < propagationTimeout {
				missing = 0
				for _, p := range fleet {
					if len(p.members.Targets()) != len(fleet)-1 {
						missing++
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			convey.So(missing, convey.ShouldEqual, 0)
		})
	})
}

// crossRegionBytes returns the bytes of gossip messages that a process received
// from another region.
func crossRegionBytes(p *process) int64 {
	c := p.scope.Snapshot().Counters()["peer_bytes+between=regions,direction=received,purpose=spread"]
	if c == nil {
		return 0
	}
	return c.Value()
}

func TestSectionsCrossRegionsOnce(t *testing.T) {
	convey.Convey("The sections of a revision are sent to the other region about once", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fleet := newFleet(ctx, t, 5)
		const size = 400000
		time.Sleep(2 * time.Second) // until the connections are open
		convey.So(adoptRevision(fleet[0], 1, size), convey.ShouldBeNil)
		_, ok := waitForRevision(fleet, 1, propagationTimeout)
		convey.So(ok, convey.ShouldBeTrue)
		var total, sections int64
		for _, p := range fleet[10:] {
			total += crossRegionBytes(p)
		}
		for _, s := range configuration.Split(fleet[0].configurations.Current()) {
			sections += int64(len(s.Data))
		}
		t.Logf("sections: %d bytes, received across regions: %d bytes", sections, total)
		convey.So(total, convey.ShouldBeGreaterThanOrEqualTo, sections)
		convey.So(total, convey.ShouldBeLessThan, 3*sections)
	})
}
