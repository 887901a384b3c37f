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
// their revision and waits until all registered targets have answered with at
// least the given one, or for at most wait. It calls the object API not once.
func (n *Node) Survey(ctx context.Context, revision uint64, wait time.Duration) Report {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	id, s := n.startSurvey(time.Now())
	c := collection{revision: revision, answers: map[string]peer.SurveyAnswer{}}
	c.add(n.ownAnswer(id))
	for {
		select {
		case a := <-s.reports:
			c.add(a)
			continue
		default:
		}
		select {
		case a := <-s.reports:
			c.add(a)
		case <-ctx.Done():
			return c.report(n.opts.Members.Targets())
		case <-time.After(surveySettle):
			r := c.report(n.opts.Members.Targets())
			if len(r.Behind)+len(r.Unseen) == 0 {
				return r
			}
			sleep(ctx, surveySettle)
			id, s = n.startSurvey(time.Now())
			c.forgetBehind()
			c.add(n.ownAnswer(id))
		}
	}
}

// surveySettle is how long no answer comes before a survey looks complete.
const surveySettle = 250 * time.Millisecond

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
	for conn, p := range n.peers {
		if p.beat.Revision < a.Revision {
			a.Behind = append(a.Behind, conn.Remote().Name)
		}
	}
	return a
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

// forgetBehind drops what was said of others, which the next round tells anew.
func (c *collection) forgetBehind() {
	for name, a := range c.answers {
		a.Behind = nil
		c.answers[name] = a
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
