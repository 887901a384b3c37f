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

// memory is an object API that loses the answers of chosen writes of the root.
type memory struct {
	mu       sync.Mutex
	version  objects.Version
	objects  map[string]objects.Object
	rootPuts int
	// lose says of a write of the root, by its number, whether its answer is
	// lost, and whether it has an effect all the same.
	lose func(put int) (lost, effect bool)
	// between runs after a write of the root whose answer is lost.
	between func()
}

func newMemory() *memory {
	return &memory{objects: map[string]objects.Object{}, lose: func(int) (bool, bool) { return false, true }}
}

func (m *memory) Get(_ context.Context, kind objects.ObjectKind, name string) (objects.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[string(kind)+"/"+name]
	if !ok {
		return o, &objects.Error{Op: "get", Kind: objects.NotFound}
	}
	return o, nil
}

func (m *memory) Put(_ context.Context, kind objects.ObjectKind, name string, value []byte, expect objects.Version) (objects.Version, error) {
	m.mu.Lock()
	lost, effect := false, true
	if kind == objects.Roots {
		m.rootPuts++
		lost, effect = m.lose(m.rootPuts)
	}
	version, err := objects.Version(0), error(nil)
	if effect {
		version, err = m.write(string(kind)+"/"+name, value, expect)
	}
	m.mu.Unlock()
	if lost {
		if m.between != nil {
			m.between()
		}
		return 0, &objects.Error{Op: "put", Kind: objects.Uncertain}
	}
	return version, err
}

func (m *memory) write(key string, value []byte, expect objects.Version) (objects.Version, error) {
	if m.objects[key].Version != expect {
		return 0, &objects.Error{Op: "put", Kind: objects.Conflict}
	}
	m.version++
	m.objects[key] = objects.Object{Name: key, Version: m.version, Value: value}
	return m.version, nil
}

// add accepts a configuration with one more team than is in force.
func add(store Store, name string) (uint64, error) {
	ctx := context.Background()
	base, err := readInForce(ctx, store)
	if err != nil {
		return 0, err
	}
	var teams []configuration.Team
	if base.configuration != nil {
		teams = append(teams, base.configuration.Teams...)
	}
	next := configuration.New(base.root.Revision+1, append(teams, configuration.Team{Name: name}), nil)
	return next.Revision, accept(ctx, store, base, next, name)
}

func TestAcceptLostAnswers(t *testing.T) {
	cases := []struct {
		name   string
		effect bool
		later  int // changes by others before the answer is missed
		want   Kind
	}{
		{"no effect", false, 0, 0},
		{"effect", true, 0, 0},
		{"effect, then later changes", true, 20, 0},
		{"no effect, then later changes", false, 3, Raced},
		{"effect, then more changes than a root names", true, configuration.MaxEarlier + 5, NotKnown},
	}
	for _, c := range cases {
		convey.Convey("A lost answer is settled: "+c.name, t, func() {
			m := newMemory()
			_, err := add(m, "first")
			convey.So(err, convey.ShouldBeNil)
			m.lose = func(put int) (bool, bool) { return put == 2, put != 2 || c.effect }
			m.between = func() {
				m.between = nil
				for i := range c.later {
					_, err := add(m, fmt.Sprintf("later-%d", i))
					convey.So(err, convey.ShouldBeNil)
				}
			}
			_, err = add(m, "mine")
			if c.want == 0 {
				convey.So(err, convey.ShouldBeNil)
			} else {
				convey.So(isKind(err, c.want), convey.ShouldBeTrue)
			}
		})
	}
}

func TestAcceptRacing(t *testing.T) {
	convey.Convey("Of ten operators who race and lose answers, each knows the truth and none reverts another", t, func() {
		m := newMemory()
		m.lose = func(put int) (bool, bool) { return put%3 == 0, put%3 != 0 || put%2 == 0 }
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
					revision, err := add(m, name)
					if err != nil && !isKind(err, Raced) {
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
		now, err := readInForce(context.Background(), m)
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(now.configuration.Teams), convey.ShouldEqual, len(accepted))
		for _, team := range now.configuration.Teams {
			convey.So(accepted[team.Name], convey.ShouldBeTrue)
		}
		convey.So(now.root.Revision, convey.ShouldEqual, uint64(len(accepted)))
	})
}
