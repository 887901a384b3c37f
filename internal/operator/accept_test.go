package operator

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// memoryStore is an in-memory Store that loses the responses to selected writes
// of the root.
type memoryStore struct {
	mu       sync.Mutex
	version  objects.Version
	objects  map[string]objects.Object
	rootPuts int
	// fault returns, for the put-th write of the root counted from 1, whether the
	// response is lost and whether the write is applied.
	fault func(put int) (lost, applied bool)
	// afterLost, if set, runs after a write of the root whose response is lost.
	afterLost func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]objects.Object{}, fault: func(int) (bool, bool) { return false, true }}
}

func (m *memoryStore) Get(_ context.Context, kind objects.ObjectKind, name string) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[string(kind)+"/"+name]
	if !ok {
		return o, &objects.Error{Op: "get", Kind: objects.NotFound}
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error) {
	m.mu.Lock()
	lost, applied := false, true
	if kind == objects.Roots {
		m.rootPuts++
		lost, applied = m.fault(m.rootPuts)
	}
	version, err := objects.Version(0), error(nil)
	if applied {
		version, err = m.write(string(kind)+"/"+name, value, expect)
	}
	m.mu.Unlock()
	if lost {
		if m.afterLost != nil {
			m.afterLost()
		}
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	return version, err
}

func (m *memoryStore) write(key string, value []byte, expect objects.Version) (objects.Version, error) {
	if m.objects[key].Version != expect {
		return 0, &objects.Error{Op: "put", Kind: objects.Conflict}
	}
	m.version++
	m.objects[key] = objects.Object{Name: key, Version: m.version, Value: value}
	return m.version, nil
}

// acceptTeam accepts the accepted configuration with one more team and returns
// the new revision.
func acceptTeam(store Store, name string) (uint64, error) {
	ctx := context.Background()
	base, err := readAccepted(ctx, store)
	if err != nil {
		return 0, err
	}
	var teams []configuration.Team
	if base.config != nil {
		teams = append(teams, base.config.Teams...)
	}
	next := configuration.New(base.root.Revision+1, append(teams, configuration.Team{Name: name}), nil)
	return next.Revision, accept(ctx, store, base, next, name)
}

func TestAcceptLostResponse(t *testing.T) {
	cases := []struct {
		name         string
		applied      bool
		laterChanges int // changes by others before the write is repeated
		want         Kind
	}{
		{"not applied", false, 0, 0},
		{"applied", true, 0, 0},
		{"applied, then later changes", true, 20, 0},
		{"not applied, then later changes", false, 3, Conflict},
		{"applied, then more changes than a root lists", true, configuration.MaxPreviousChanges + 5, OutcomeUnknown},
	}
	for _, c := range cases {
		convey.Convey("The outcome of a write with a lost response is resolved: "+c.name, t, func() {
			m := newMemoryStore()
			_, err := acceptTeam(m, "first")
			convey.So(err, convey.ShouldBeNil)
			m.fault = func(put int) (bool, bool) { return put == 2, put != 2 || c.applied }
			m.afterLost = func() {
				m.afterLost = nil
				for i := range c.laterChanges {
					_, err := acceptTeam(m, fmt.Sprintf("later-%d", i))
					convey.So(err, convey.ShouldBeNil)
				}
			}
			_, err = acceptTeam(m, "mine")
			if c.want == 0 {
				convey.So(err, convey.ShouldBeNil)
			} else {
				convey.So(isKind(err, c.want), convey.ShouldBeTrue)
			}
		})
	}
}

func TestAcceptConcurrent(t *testing.T) {
	convey.Convey("With ten concurrent operators and lost responses, each gets the true outcome and none reverts another's change", t, func() {
		m := newMemoryStore()
		m.fault = func(put int) (bool, bool) { return put%3 == 0, put%3 != 0 || put%2 == 0 }
		const operators, rounds = 10, 8
		var mu sync.Mutex
		accepted := map[string]bool{}
		revisions := map[uint64]bool{}
		var wg sync.WaitGroup
		for o := range operators {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for r := range rounds {
					name := fmt.Sprintf("team-%d-%d", o, r)
					revision, err := acceptTeam(m, name)
					if err != nil && !isKind(err, Conflict) {
						t.Errorf("%s: %v", name, err)
					}
					mu.Lock()
					if err == nil {
						accepted[name] = true
						if revisions[revision] {
							t.Errorf("revision %d was accepted twice", revision)
						}
						revisions[revision] = true
					}
					mu.Unlock()
				}
			}()
		}
		wg.Wait()
		final, err := readAccepted(context.Background(), m)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(final.config.Teams), convey.ShouldEqual, len(accepted))
		for _, team := range final.config.Teams {
			convey.So(accepted[team.Name], convey.ShouldBeTrue)
		}
		convey.So(final.root.Revision, convey.ShouldEqual, uint64(len(accepted)))
	})
}
