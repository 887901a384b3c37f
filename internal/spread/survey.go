package spread

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sort"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// surveyLife is how long a process remembers the way back of a survey.
const surveyLife = 10 * time.Second

// goneTime is how long a peer without connections is still asked after.
const goneTime = 15 * time.Second

// survey is one survey that this process started or passed on.
type survey struct {
	from    *peer.Conn // nil for the process's own
	began   time.Time
	reports chan peer.SurveyAnswer // of the process's own
}

// Report is what a survey learned.
type Report struct {
	Processes []ProcessReport // that answered, in order of name
	// Behind are the processes below the revision asked for: those that said
	// so and those that a peer last heard saying so, in order of name.
	Behind []string
	// Unseen are the registered targets that did not answer, in order of name.
	Unseen []string
}

// ProcessReport is one process's answer.
type ProcessReport struct {
	Name     string
	Role     string
	Revision uint64
}

// Survey asks all processes that can be reached over peer connections for
// their revision, again and again until all registered targets and all known
// peers have answered with at least the given one, or for at most wait. It
// makes no call of the object API.
func (n *Node) Survey(ctx context.Context, revision uint64, wait time.Duration) Report {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	last := n.surveyOnce(ctx, revision)
	for len(last.Behind)+len(last.Unseen) > 0 {
		sleep(ctx, surveySettle)
		next := n.surveyOnce(ctx, revision)
		if ctx.Err() != nil {
			break // the round is not complete
		}
		last = next
	}
	return last
}

// surveySettle is how long no answer comes before a survey looks complete.
const surveySettle = 250 * time.Millisecond

// surveyOnce asks once and waits until no more answers come.
func (n *Node) surveyOnce(ctx context.Context, revision uint64) Report {
	id, s := n.startSurvey(time.Now())
	c := collection{revision: revision, answers: map[string]peer.SurveyAnswer{}}
	c.add(n.ownAnswer(id))
	settled := time.NewTimer(surveySettle)
	defer settled.Stop()
	for {
		select {
		case a := <-s.reports:
			c.add(a)
			settled.Reset(surveySettle)
			continue
		case <-ctx.Done():
		case <-settled.C:
		}
		return c.report(n.opts.Members.Targets())
	}
}

func (n *Node) startSurvey(now time.Time) (string, *survey) {
	b := make([]byte, 8)
	_, _ = rand.Read(b) // never fails
	id := hex.EncodeToString(b)
	s := &survey{began: now, reports: make(chan peer.SurveyAnswer, answerQueue)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.surveys[id] = s
	for conn := range n.peers {
		_, _ = conn.Send(peer.Survey{ID: id}) // a lost peer does not answer
	}
	return id, s
}

// passSurvey answers a survey that is seen for the first time and passes it on.
func (n *Node) passSurvey(from *peer.Conn, m peer.Survey) {
	own := n.ownAnswer(m.ID)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, s := range n.surveys {
		if now.Sub(s.began) > surveyLife {
			delete(n.surveys, id)
		}
	}
	if n.surveys[m.ID] != nil {
		return
	}
	n.surveys[m.ID] = &survey{from: from, began: now}
	_, _ = from.Send(own)
	for conn := range n.peers {
		if conn != from {
			_, _ = conn.Send(m)
		}
	}
}

// passSurveyAnswer sends an answer on towards the process that started the survey.
func (n *Node) passSurveyAnswer(m peer.SurveyAnswer) {
	n.mu.Lock()
	s := n.surveys[m.ID]
	n.mu.Unlock()
	switch {
	case s == nil:
	case s.from != nil:
		_, _ = s.from.Send(m)
	default:
		select {
		case s.reports <- m:
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
		if p.beat.Revision < a.Revision {
			a.Behind = append(a.Behind, conn.Remote().Name)
		}
	}
	a.Behind = append(a.Behind, n.recentlyGone(connected, time.Now())...)
	return a
}

// recentlyGone returns the peers that lost their last connection a short time
// ago: they may live and not have heard. The caller holds n.mu.
func (n *Node) recentlyGone(connected map[string]bool, now time.Time) []string {
	var out []string
	for name, at := range n.gone {
		switch {
		case connected[name], now.Sub(at) > goneTime:
			delete(n.gone, name)
		default:
			out = append(out, name)
		}
	}
	return out
}

// collection gathers the answers of a survey.
type collection struct {
	revision uint64
	answers  map[string]peer.SurveyAnswer
}

func (c *collection) add(a peer.SurveyAnswer) {
	if a.Revision >= c.answers[a.Name].Revision {
		c.answers[a.Name] = a
	}
}

// report compares the answers with the registered targets.
func (c *collection) report(targets []target.Target) Report {
	var r Report
	behind := map[string]bool{}
	for _, a := range c.answers {
		r.Processes = append(r.Processes, ProcessReport{Name: a.Name, Role: a.Role, Revision: a.Revision})
		if a.Revision < c.revision {
			behind[a.Name] = true
		}
		for _, name := range a.Behind {
			if c.answers[name].Revision < c.revision {
				behind[name] = true
			}
		}
	}
	for name := range behind {
		r.Behind = append(r.Behind, name)
	}
	for _, t := range targets {
		if _, ok := c.answers[t.Name]; !ok && !behind[t.Name] {
			r.Unseen = append(r.Unseen, t.Name)
		}
	}
	sort.Slice(r.Processes, func(i, j int) bool { return r.Processes[i].Name < r.Processes[j].Name })
	sort.Strings(r.Behind)
	sort.Strings(r.Unseen)
	return r
}
