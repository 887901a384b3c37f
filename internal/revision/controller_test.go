package revision

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// encodedRevision is an encoded configuration.
type encodedRevision struct {
	root     []byte
	sections []configuration.Section
}

// makeRevision returns a revision in which team "b" has n keys.
func makeRevision(revision uint64, n int) encodedRevision {
	b := configuration.Team{Name: "b"}
	for i := range n {
		b.Keys = append(b.Keys, configuration.DigestKey(string(rune('a'+i))))
	}
	c := configuration.New(revision, []configuration.Team{{Name: "a"}, b}, nil)
	sections := configuration.Split(c)
	return encodedRevision{root: configuration.EncodeRoot(configuration.NewRoot(revision, "id", "op", sections)), sections: sections}
}

// fakeSource is a Source that counts the requested sections. If corrupt is set,
// it returns corrupt data.
type fakeSource struct {
	sections  []configuration.Section
	corrupt   bool
	requested int
}

func (s *fakeSource) Name() string { return "peer" }

func (s *fakeSource) Sections(_ context.Context, wanted []configuration.SectionRef) ([]configuration.Section, error) {
	s.requested += len(wanted)
	var out []configuration.Section
	for _, ref := range wanted {
		for _, have := range s.sections {
			if have.Digest != ref.Digest {
				continue
			}
			if s.corrupt {
				have.Data = append([]byte{0}, have.Data...)
			}
			out = append(out, have)
		}
	}
	return out, nil
}

// fakeStore is an object API that answers each watch with the next value from
// watches and counts reads.
type fakeStore struct {
	mu      sync.Mutex
	watches chan []objects.Object
	gets    int
	data    map[string][]byte
}

func (s *fakeStore) Get(_ context.Context, _ objects.ObjectKind, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	data, ok := s.data[name]
	if !ok {
		return objects.Object{}, &objects.Error{Op: "get", Kind: objects.Unavailable}
	}
	return objects.Object{Name: name, Value: data}, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ objects.ObjectKind, after objects.Version, _ time.Duration) ([]objects.Object, objects.Version, error) {
	select {
	case o := <-s.watches:
		return o, after + 1, nil
	case <-ctx.Done():
		return nil, 0, &objects.Error{Op: "watch", Kind: objects.Unavailable}
	}
}

func newStore() *fakeStore {
	return &fakeStore{watches: make(chan []objects.Object), data: map[string][]byte{}}
}

func TestAdopt(t *testing.T) {
	ctx := context.Background()
	first, second := makeRevision(1, 1), makeRevision(2, 2)
	convey.Convey("With a controller at revision 1", t, func() {
		st := newStore()
		c := New(st, event.Discard())
		good := &fakeSource{sections: first.sections}
		convey.So(c.Adopt(ctx, first.root, good), convey.ShouldBeNil)
		convey.So(c.Revision(), convey.ShouldEqual, 1)

		convey.Convey("only changed sections are requested", func() {
			next := &fakeSource{sections: second.sections}
			convey.So(c.Adopt(ctx, second.root, next), convey.ShouldBeNil)
			convey.So(next.requested, convey.ShouldEqual, 1)
			convey.So(c.Revision(), convey.ShouldEqual, 2)
		})
		convey.Convey("a corrupt section is requested from the next source", func() {
			bad := &fakeSource{sections: second.sections, corrupt: true}
			next := &fakeSource{sections: second.sections}
			convey.So(c.Adopt(ctx, second.root, bad, next), convey.ShouldBeNil)
			convey.So(next.requested, convey.ShouldEqual, 1)
			convey.So(len(c.Current().Team("b").Keys), convey.ShouldEqual, 2)
		})
		convey.Convey("if all sources are corrupt, the older revision stays in force unchanged", func() {
			bad := &fakeSource{sections: second.sections, corrupt: true}
			convey.So(c.Adopt(ctx, second.root, bad), convey.ShouldNotBeNil)
			convey.So(c.Revision(), convey.ShouldEqual, 1)
			convey.So(len(c.Current().Team("b").Keys), convey.ShouldEqual, 1)
		})
		convey.Convey("an older root that arrives after a newer one changes nothing", func() {
			convey.So(c.Adopt(ctx, second.root, &fakeSource{sections: second.sections}), convey.ShouldBeNil)
			convey.So(c.Adopt(ctx, first.root, good), convey.ShouldBeNil)
			convey.So(c.Revision(), convey.ShouldEqual, 2)
		})
		convey.Convey("an invalid root is rejected", func() {
			convey.So(c.Adopt(ctx, []byte{1, 2}), convey.ShouldNotBeNil)
			convey.So(c.Revision(), convey.ShouldEqual, 1)
		})
	})
}

func TestConcurrentAdopt(t *testing.T) {
	convey.Convey("Of many revisions adopted concurrently the newest stays in force, and none comes into force after a newer one", t, func() {
		c := New(newStore(), event.Discard())
		var mu sync.Mutex
		var seen []uint64
		c.OnChange(func(cfg *configuration.Configuration) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, cfg.Revision)
		})
		var wg sync.WaitGroup
		for r := uint64(1); r <= 20; r++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				m := makeRevision(r, int(r))
				_ = c.Adopt(context.Background(), m.root, &fakeSource{sections: m.sections})
			}()
		}
		wg.Wait()
		convey.So(c.Revision(), convey.ShouldEqual, 20)
		for i := 1; i < len(seen); i++ {
			convey.So(seen[i], convey.ShouldBeGreaterThan, seen[i-1])
		}
	})
}

func TestReadDelay(t *testing.T) {
	convey.Convey("A watcher reads no section from the object API that a peer provided during the read delay", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		st := newStore()
		m := makeRevision(1, 1)
		for _, s := range m.sections {
			st.data[s.Digest.String()] = s.Data
		}
		c := New(st, event.Discard())
		c.SetWatchPolicy(func() WatchPolicy { return WatchPolicy{Watch: true, SectionDelay: 5 * time.Second} })
		go c.Run(ctx)
		st.watches <- []objects.Object{{Name: objects.RootName, Version: 1, Value: m.root}}
		convey.So(c.Adopt(ctx, m.root, &fakeSource{sections: m.sections}), convey.ShouldBeNil)
		st.watches <- nil // received after the controller has handled the root
		st.mu.Lock()
		defer st.mu.Unlock()
		convey.So(st.gets, convey.ShouldEqual, 0)
	})
}
