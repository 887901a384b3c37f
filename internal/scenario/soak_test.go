package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Times of a soak.
const (
	soakFault  = 1500 * time.Millisecond // the longest time that a fault stays
	soakPause  = 600 * time.Millisecond  // the longest time between two faults
	soakSettle = 30 * time.Second        // for the deployment to serve again
)

// defaultSoak are the time and the seed of the round in every test run.
const defaultSoak, defaultSeed = "4s", "1"

// soak is one round of random faults against the processes of a script.
type soak struct {
	ts      *testscript.TestScript
	rng     *rand.Rand
	daemons []string // names of the targetds and entryds, which have NAME.ini
	engines []string // addresses of the engine stand-ins
	undo    []undoing
}

// undoing ends a fault.
type undoing struct {
	at time.Time
	do func()
}

// cmdSoak runs "soak ENTRY..." with the processes that the script started: t1
// and so on, e1 and so on, engines at $ENGINES.
func cmdSoak(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: soak ENTRY ENTRY...")
	}
	lasting, err := time.ParseDuration(ts.Getenv("SOAK_FOR"))
	ts.Check(err)
	seed, err := strconv.ParseUint(ts.Getenv("SOAK_SEED"), 10, 64)
	ts.Check(err)
	ts.Logf("soak: seed %d for %v", seed, lasting)
	s := &soak{ts: ts, rng: rand.New(rand.NewPCG(seed, seed))}
	for name := range stateOf(ts).processes {
		if _, err := os.Stat(ts.MkAbs(name + ".ini")); err == nil {
			s.daemons = append(s.daemons, name)
		}
	}
	s.engines = splitList(ts.Getenv("ENGINES"))
	c := startCallers(args, seed)
	s.run(time.Now().Add(lasting))
	c.finish()
	checkJournals(ts, c.seen, s.engines, ts.Getenv("SERVICE"))
	poll(ts, "a call is answered after the soak", soakSettle, func() (bool, string) {
		seen := c.once(rand.New(rand.NewPCG(seed, 0)), completion, 0)
		return seen.outcome == "answered", seen.String()
	})
}

// run brings about faults until end and then ends those that stay.
func (s *soak) run(end time.Time) {
	sortNames(s.daemons)
	for time.Now().Before(end) {
		s.fault()
		s.sleep(time.Duration(s.rng.Int64N(int64(soakPause))))
	}
	s.sleep(soakFault)
}

// sleep waits for d and ends the faults that are over by then.
func (s *soak) sleep(d time.Duration) {
	until := time.Now().Add(d)
	for {
		var left []undoing
		for _, u := range s.undo {
			if time.Now().Before(u.at) {
				left = append(left, u)
				continue
			}
			u.do()
		}
		s.undo = left
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(waitPoll)
	}
}

// fault brings about one random fault.
func (s *soak) fault() {
	name := s.daemons[s.rng.IntN(len(s.daemons))]
	lasting := time.Duration(s.rng.Int64N(int64(soakFault)))
	kind := s.rng.IntN(6)
	s.ts.Logf("soak: fault %d at %s for %v", kind, name, lasting)
	switch kind {
	case 0:
		s.down(name, func() { cmdKill(s.ts, false, []string{name}) }, lasting)
	case 1:
		s.down(name, func() { cmdSignal(s.ts, false, []string{name}) }, lasting)
	case 2:
		s.freeze(name, lasting)
	case 3:
		engine := s.engines[s.rng.IntN(len(s.engines))]
		post(s.ts, engine+"/admin/restart", "{}")
	default:
		mode := []string{"refuse", "lose_answer", "silent"}[s.rng.IntN(3)]
		platform := s.ts.Getenv("PLATFORM")
		post(s.ts, platform+"/admin/fault", fmt.Sprintf(`{"mode":%q}`, mode))
		s.later(lasting, func() { post(s.ts, platform+"/admin/fault", "{}") })
	}
}

// busy reports whether a fault stays at a process. It marks it otherwise.
func (s *soak) busy(name string) bool {
	st := stateOf(s.ts)
	if st.faulty[name] {
		return true
	}
	st.faulty[name] = true
	return false
}

func (s *soak) later(d time.Duration, do func()) {
	s.undo = append(s.undo, undoing{at: time.Now().Add(d), do: do})
}

// down ends a process and starts it again.
func (s *soak) down(name string, end func(), lasting time.Duration) {
	if s.busy(name) {
		return
	}
	end()
	s.later(lasting, func() {
		<-running(s.ts, name).done
		program := "targetd"
		if name[0] == 'e' {
			program = "entryd"
		}
		cmdStart(s.ts, false, []string{name, program, "-settings", name + ".ini"})
		stateOf(s.ts).faulty[name] = false
	})
}

func (s *soak) freeze(name string, lasting time.Duration) {
	if s.busy(name) {
		return
	}
	cmdFreeze(s.ts, false, []string{name})
	s.later(lasting, func() {
		cmdThaw(s.ts, false, []string{name})
		stateOf(s.ts).faulty[name] = false
	})
}
