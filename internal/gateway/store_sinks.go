package gateway

import (
	"bytes"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/follow"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/confirmation"
	"github.com/borageusher/borageusher/pkg/orders"
	"github.com/borageusher/borageusher/pkg/routing"
	"github.com/borageusher/borageusher/pkg/target"
)

// Decoder decodes the objects that the operator and the targets write to the
// store.
type Decoder interface {
	Configuration(b []byte) (*routing.Configuration, error)
	// Replica returns the target with the given ID.
	Replica(id string, b []byte) (target.Replica, error)
	// Version returns the adapter of an announcement and its version.
	Version(b []byte) (orders.Adapter, int64, error)
}

// configurationSink applies newer configurations.
type configurationSink struct {
	decoder Decoder
	name    string // of the object
	current *atomic.Pointer[routing.Configuration]
	fleet   *Fleet
	log     event.Log
	value   []byte // of the configuration in force

	confirmations *confirmations
	shown         confirmation.Response // by the objects that were received since the last call of Responded
}

// Replace implements follow.Sink.
func (s *configurationSink) Replace(now time.Time, all []objects.Object, settled time.Time, _ bool) {
	s.shown = confirmation.Response{Shown: confirmation.Other} // unless the configuration is among them
	s.Apply(now, all, settled)
}

// Apply implements follow.Sink. An older version never replaces a newer one. Another
// configuration with the version in force replaces it: a store that has lost the version
// gives it out again.
func (s *configurationSink) Apply(_ time.Time, changed []objects.Object, _ time.Time) {
	for _, o := range changed {
		if o.Name != s.name {
			continue
		}
		s.shown = confirmation.Response{Shown: confirmation.Other, Version: uint64(o.Version)}
		if o.Deleted {
			continue
		}
		cfg, err := s.decoder.Configuration(o.Value)
		if err != nil {
			s.log.Event(event.RevisionRejected).Err(err).Send()
			continue
		}
		before := s.current.Load()
		if before != nil && cfg.Version < before.Version {
			s.log.Event(event.ConfigurationOutdated).Int64("revision", cfg.Version).Int64("in_force", before.Version).Send()
			continue
		}
		s.shown.Shown = confirmation.InForce
		if before != nil && cfg.Version == before.Version && bytes.Equal(o.Value, s.value) {
			continue
		}
		if before != nil && before.HasWorkspaces() && !cfg.HasWorkspaces() {
			// A configuration that lost its workspaces would admit everyone, also with keys
			// that it takes away.
			cfg.SetWorkspaces(routing.Workspaces{})
			s.log.Event(event.WorkspacesMissing).Int64("revision", cfg.Version).Send()
		}
		s.value = bytes.Clone(o.Value)
		if before != nil && s.confirmations != nil {
			s.confirmations.recordReplaced(before)
		}
		s.current.Store(cfg)
		s.fleet.setConfiguration(cfg)
		s.log.Event(event.RevisionInForce).Int64("revision", cfg.Version).Uint64("object_version", uint64(o.Version)).Send()
	}
}

// Responded implements follow.Observer.
func (s *configurationSink) Responded(r follow.Response) {
	shown := s.shown
	s.shown = confirmation.Response{}
	if r.Incomplete && !r.List { // the object that could not be read may be the configuration
		shown.Shown = confirmation.Other
	}
	shown.SentAt, shown.List, shown.History = r.SentAt, r.List, r.History
	s.confirmations.observe(shown)
}

// Due implements follow.Observer.
func (s *configurationSink) Due(sinceCall time.Duration) (time.Duration, bool) {
	return s.confirmations.due(s.current.Load(), sinceCall)
}

// Changed implements follow.Observer.
func (s *configurationSink) Changed() <-chan struct{} { return s.confirmations.changed }

// replicaSink applies the targets that are listed in the store to the fleet, one
// object per target.
type replicaSink struct {
	decoder Decoder
	fleet   *Fleet
	log     event.Log
}

// Replace implements follow.Sink.
func (s *replicaSink) Replace(now time.Time, all []objects.Object, settled time.Time, restored bool) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	clear(s.fleet.superseded)
	listed := make(map[string]bool, len(all))
	for _, o := range all {
		if r, err := s.decoder.Replica(o.Name, o.Value); err == nil && s.fleet.holdUnconfirmed(now, r, restored) {
			continue
		}
		listed[o.Name] = true
		s.apply(now, o, settled)
	}
	s.fleet.keepUnconfirmed(all)
	for id, t := range s.fleet.targets {
		if !listed[id] {
			s.fleet.remove(now, t, settled)
		}
	}
	s.fleet.reinstate(now)
	s.fleet.targetsListed = true
}

// AsOf implements follow.DatedSink.
func (s *replicaSink) AsOf(at time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.entriesAsOf = at
}

// Apply implements follow.Sink.
func (s *replicaSink) Apply(now time.Time, changed []objects.Object, settled time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, o := range changed {
		s.apply(now, o, settled)
	}
	s.fleet.reinstate(now)
}

// apply applies one object. An object that can't be decoded was not written by a
// target and counts as missing. The caller holds the fleet's mu.
func (s *replicaSink) apply(now time.Time, o objects.Object, settled time.Time) {
	t := s.fleet.targets[o.Name]
	delete(s.fleet.unconfirmed, o.Name)
	delete(s.fleet.superseded, o.Name)
	if o.Deleted {
		if t != nil {
			s.fleet.remove(now, t, settled)
		}
		return
	}
	r, err := s.decoder.Replica(o.Name, o.Value)
	if err != nil {
		s.log.Event(event.TargetUnreadable).Str("target", o.Name).Err(err).Send()
		if t != nil {
			s.fleet.remove(now, t, settled)
		}
		return
	}
	s.fleet.upsert(now, r)
}

// versionSink applies the announced adapter versions to the fleet.
type versionSink struct {
	decoder Decoder
	fleet   *Fleet
	log     event.Log
}

// Replace implements follow.Sink.
func (s *versionSink) Replace(now time.Time, all []objects.Object, settled time.Time, _ bool) {
	s.Apply(now, all, settled)
}

// Apply implements follow.Sink.
func (s *versionSink) Apply(_ time.Time, changed []objects.Object, _ time.Time) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, o := range changed {
		if o.Deleted {
			continue
		}
		a, version, err := s.decoder.Version(o.Value)
		if err != nil {
			s.log.Event(event.TargetUnreadable).Str("version", o.Name).Err(err).Send()
			continue
		}
		if version <= s.fleet.versions[a] {
			continue
		}
		s.fleet.versions[a] = version
		s.log.Event(event.VersionAnnounced).Str("model", a.Model).Str("adapter", a.Name).Int64("version", version).Send()
	}
	s.fleet.versionsListed = true
	for _, t := range s.fleet.targets {
		s.fleet.sendEngineSpec(t)
	}
}
