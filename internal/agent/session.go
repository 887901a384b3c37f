package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/dispatch"
)

// Sessions accepts peer connections of entryds and forwards their messages to the
// agent.
type Sessions struct {
	Agent    *Agent
	Self     peer.Identity
	Key      peer.Key
	Log      event.Log
	Revision func() uint64 // revision of the configuration in force
	Gossip   Gossip        // nil for none
}

// ServeHTTP accepts one peer connection and serves it until it ends.
func (s *Sessions) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := peer.Accept(w, r, s.Self, s.Key)
	if err != nil {
		s.Log.Event(event.PeerRefused).Str("from", r.RemoteAddr).Err(err).Send()
		return
	}
	s.Log.Event(event.PeerConnected).Str("peer", conn.Remote().Name).Send()
	detach := s.attach(conn)
	defer detach()
	out := &residencySender{sender: conn, residency: s.Agent.Residency}
	s.Agent.post(connected{conn: out, session: conn})
	err = conn.Run(context.WithoutCancel(r.Context()), s.heartbeat, func(m peer.Message) { s.handle(conn, out, m) })
	s.Log.Event(event.PeerLost).Str("peer", conn.Remote().Name).Err(err).Send()
	s.Agent.post(disconnected{conn: out})
}

func (s *Sessions) heartbeat() peer.Heartbeat {
	load := s.Agent.Report()
	m := peer.Heartbeat{Revision: s.Revision(), Running: load.Running, Queued: load.Queued, Draining: load.Draining}
	if s.Gossip != nil {
		m.MembersVersion = s.Gossip.Heartbeat().MembersVersion
	}
	return m
}

func (s *Sessions) handle(conn *peer.Conn, out sender, m peer.Message) {
	if s.Gossip != nil && s.Gossip.Handle(conn, m) {
		return
	}
	switch m := m.(type) {
	case peer.Submit:
		s.Agent.post(submitted{conn: out, submit: m, receivedAt: time.Now()})
	case peer.Resume:
		s.Agent.post(resumed{conn: out, resume: m})
	case peer.Cancel:
		s.Agent.post(cancelled{key: dispatch.RequestKey{Request: m.Request, Attempt: m.Attempt}})
	case peer.Drain:
		s.drain(conn, m)
	case peer.AllocatorNotice:
		s.Agent.post(allocatorAnnounced{conn: out, name: conn.Remote().Name})
	case peer.LoadGrant:
		s.Agent.post(loadGranted{team: m.Team})
	case peer.Ack:
		s.Agent.post(acked{key: dispatch.RequestKey{Request: m.Request, Attempt: m.Attempt}, next: m.Next, ended: m.EndReceived})
	}
}
