package gossip

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sort"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// surveyRetention is how long a process keeps the return path of a survey.
const surveyRetention = 10 * time.Second

// disconnectRetention is how long a disconnected peer is reported as behind.
const disconnectRetention = 15 * time.Second

// survey is a survey that this process started or forwarded.
type survey struct {
	from      *peer.Conn // nil if this process started the survey
	startedAt time.Time
	answers   chan peer.SurveyAnswer // nil unless this process started the survey
}

// Report is the result of a survey.
type Report struct {
	Processes []ProcessReport // processes that answered, sorted by name
	// Behind lists the processes below the requested revision, according to
	// their own answer or else to the last heartbeat that a peer received from
	// them, sorted by name. It includes peers that disconnected recently.
	Behind []string
	// Unseen lists the registered targets that neither answered nor are in
	// Behind, sorted by name.
	Unseen []string
}

// ProcessReport is the answer of one process.
type ProcessReport struct {
	Name     string
	Role     string
	Revision uint64
}

// Survey asks all processes that can be reached over peer connections for their
// revision. It repeats the survey until all registered targets and all known
// peers have answered with at least the given revision, or until wait has
// passed. It makes no call of the object API.
func (n *Node) Survey(ctx context.Context, revision uint64, wait time.Duration) Report {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	last := n.surveyOnce(ctx, revision)
	for len(last.Behind)+len(last.Unseen) > 0 {
		sleep(ctx, surveyQuietPeriod)
		next := n.surveyOnce(ctx, revision)
		if ctx.Err() != nil {
			break // the answers to this survey are not complete
		}
		last = next
	}
	return last
}

// surveyQuietPeriod is the time without a further answer after which a survey
// is considered complete.
const surveyQuietPeriod = 250 * time.Millisecond

// surveyOnce sends one survey and collects the answers until none has arrived
// for surveyQuietPeriod.
func (n *Node) surveyOnce(ctx context.Context, revision uint64) Report {
	id, s := n.startSurvey(time.Now())
	answers := surveyAnswers{revision: revision, byName: map[string]peer.SurveyAnswer{}}
	answers.add(n.ownAnswer(id))
	quiet := time.NewTimer(surveyQuietPeriod)
	defer quiet.Stop()
	for {
		select {
		case a := <-s.answers:
			answers.add(a)
			quiet.Reset(surveyQuietPeriod)
			continue
		case <-ctx.Done():
		case <-quiet.C:
		}
		return answers.report(n.opts.Members.Targets())
	}
}

func (n *Node) startSurvey(now time.Time) (string, *survey) {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never returns an error
	id := hex.EncodeToString(b)
	s := &survey{startedAt: now, answers: make(chan peer.SurveyAnswer, maxQueuedAnswers)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.surveys[id] = s
	for conn := range n.peers {
		_, _ = conn.Send(peer.Survey{ID: id}) // a disconnected peer does not answer
	}
	return id, s
}

// forwardSurvey answers a survey that is received for the first time and
// forwards it to the other peers. It ignores duplicates.
func (n *Node) forwardSurvey(from *peer.Conn, m peer.Survey) {
	own := n.ownAnswer(m.ID)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, s := range n.surveys {
		if now.Sub(s.startedAt) > surveyRetention {
			delete(n.surveys, id)
		}
	}
	if n.surveys[m.ID] != nil {
		return
	}
	n.surveys[m.ID] = &survey{from: from, startedAt: now}
	_, _ = from.Send(own)
	for conn := range n.peers {
		if conn != from {
			_, _ = conn.Send(m)
		}
	}
}

// forwardSurveyAnswer forwards an answer towards the process that started the
// survey.
func (n *Node) forwardSurveyAnswer(m peer.SurveyAnswer) {
	n.mu.Lock()
	s := n.surveys[m.ID]
	n.mu.Unlock()
	switch {
	case s == nil:
	case s.from != nil:
		_, _ = s.from.Send(m)
	default:
		select {
		case s.answers <- m:
		default: // the survey has ended
		}
	}
}

func (n *Node) ownAnswer(id string) peer.SurveyAnswer {
	a := peer.SurveyAnswer{ID: id, Name: n.opts.Self.Name, Role: n.opts.Self.Role, Revision: n.opts.Configurations.Revision()}
	n.mu.Lock()
	defer n.mu.Unlock()
	connected := map[string]bool{}
	for conn, p := range n.peers {
		connected[conn.Remote().Name] = true
		if p.heartbeat.Revision < a.Revision {
			a.Behind = append(a.Behind, conn.Remote().Name)
		}
	}
	a.Behind = append(a.Behind, n.recentlyDisconnected(connected, time.Now())...)
	return a
}

// recentlyDisconnected returns the peers whose last connection ended within
// disconnectRetention: they may be alive without having received the newest
// revision. The caller holds n.mu.
func (n *Node) recentlyDisconnected(connected map[string]bool, now time.Time) []string {
	var out []string
	for name, at := range n.disconnectedAt {
		switch {
		case connected[name], now.Sub(at) > disconnectRetention:
			delete(n.disconnectedAt, name)
		default:
			out = append(out, name)
		}
	}
	return out
}

// surveyAnswers collects the answers to a survey.
type surveyAnswers struct {
	revision uint64
	byName   map[string]peer.SurveyAnswer
}

func (s *surveyAnswers) add(a peer.SurveyAnswer) {
	if a.Revision >= s.byName[a.Name].Revision {
		s.byName[a.Name] = a
	}
}

// report compares the answers with the wanted revision and the registered
// targets.
func (s *surveyAnswers) report(targets []target.Target) Report {
	var r Report
	behind := map[string]bool{}
	for _, a := range s.byName {
		r.Processes = append(r.Processes, ProcessReport{Name: a.Name, Role: a.Role, Revision: a.Revision})
		if a.Revision < s.revision {
			behind[a.Name] = true
		}
		for _, name := range a.Behind {
			if s.byName[name].Revision < s.revision {
				behind[name] = true
			}
		}
	}
	for name := range behind {
		r.Behind = append(r.Behind, name)
	}
	for _, t := range targets {
		if _, ok := s.byName[t.Name]; !ok && !behind[t.Name] {
			r.Unseen = append(r.Unseen, t.Name)
		}
	}
	sort.Slice(r.Processes, func(i, j int) bool { return r.Processes[i].Name < r.Processes[j].Name })
	sort.Strings(r.Behind)
	sort.Strings(r.Unseen)
	return r
}
