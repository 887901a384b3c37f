package enginecontroller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/peer"
)

// configurationStore has one object, or none.
type configurationStore struct {
	mu      sync.Mutex
	name    string
	version objects.Version
	lists   int
}

func (s *configurationStore) List(context.Context, objects.ObjectKind) ([]objects.Object, follow.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return []objects.Object{{Name: s.name, Version: s.version}}, follow.Position{History: 1, Version: s.version}, nil
}

func (s *configurationStore) Watch(_ context.Context, _ objects.ObjectKind, after follow.Position, _ time.Duration) ([]objects.Object, follow.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []objects.Object
	if s.version > after.Version {
		changed = []objects.Object{{Name: s.name, Version: s.version}}
	}
	return changed, follow.Position{History: 1, Version: s.version}, nil
}

// TestConfigurationWatch guards against a targetd that calls the store although no entryd
// asks, or states a configuration or an age that it does not know.
func TestConfigurationWatch(t *testing.T) {
	s := &configurationStore{name: "main", version: 7}
	var mu sync.Mutex
	start, skipped := time.Now(), time.Duration(0)
	clock := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return time.Since(start) + skipped
	}
	w := &configurationWatch{Configuration: Configuration{Store: s, Name: "main", Period: 20 * time.Millisecond, Clock: clock}, log: event.Discard()}
	lists := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.lists
	}
	ask := func() peer.ConfirmationAnswer { return w.answer(t.Context(), peer.ConfirmationRequest{ID: 3}) }
	time.Sleep(50 * time.Millisecond)
	if lists() != 0 {
		t.Error("the store is called before a question")
	}
	if a := ask(); a != (peer.ConfirmationAnswer{ID: 3}) {
		t.Errorf("%+v before the first list", a)
	}
	if !eventually(func() bool { return ask().Version == 7 }) || ask().History != 1 {
		t.Errorf("%+v", ask())
	}
	s.mu.Lock()
	s.version = 8
	s.mu.Unlock()
	if !eventually(func() bool { return ask().Version == 8 }) {
		t.Errorf("%+v after a change", ask())
	}
	run := w.run
	if run.stopIfUnasked() {
		t.Error("the watch stops while entryds ask")
	}
	mu.Lock()
	skipped = unaskedTime // as in a suspension
	mu.Unlock()
	if !run.stopIfUnasked() || w.run != nil {
		t.Error("the watch goes on")
	}
	if a := ask(); a.Version != 0 {
		t.Errorf("%+v of the former watch", a)
	}
	if !eventually(func() bool { return ask().Version == 8 }) || lists() != 2 {
		t.Errorf("%+v, %d lists", ask(), lists())
	}
	other := &configurationWatch{Configuration: Configuration{Store: &configurationStore{name: "other", version: 7}, Name: "main", Period: 20 * time.Millisecond, Clock: clock}, log: event.Discard()}
	for range 10 {
		if a := other.answer(t.Context(), peer.ConfirmationRequest{ID: 3}); a.Version != 0 {
			t.Errorf("%+v without a configuration", a)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
