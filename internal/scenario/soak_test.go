package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Bounds of the random times of a soak.
const (
	maxFaultDuration    = 1500 * time.Millisecond // of a single fault
	maxFaultInterval    = 600 * time.Millisecond  // between the injections of two faults
	soakRecoveryTimeout = 30 * time.Second        // for a call to be answered after the last fault
)

// defaultSoakDuration and defaultSoakSeed apply unless the environment variables
// SOAK_FOR and SOAK_SEED are set. The duration keeps ordinary test runs short.
const defaultSoakDuration, defaultSoakSeed = "4s", "1"

// soak injects random faults into the processes of a script.
type soak struct {
	ts      *testscript.TestScript
	rng     *rand.Rand
	daemons []string // names of the targetds and entryds: the processes with a file NAME.ini
	engines []string // addresses of the engine stand-ins
	repairs []repair
}

// repair is the scheduled end of a fault.
type repair struct {
	at  time.Time
	run func()
}

// cmdSoak implements "soak ENTRY ENTRY...", whose arguments are the addresses of
// the entryds to call. The script must have started the
// targetds as t1, t2 and so on, the entryds as e1, e2 and so on, the engines at
// the addresses in $ENGINES and the plain service at $SERVICE.
func cmdSoak(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: soak ENTRY ENTRY...")
	}
	duration, err := time.ParseDuration(ts.Getenv("SOAK_FOR"))
	ts.Check(err)
	seed, err := strconv.ParseUint(ts.Getenv("SOAK_SEED"), 10, 64)
	ts.Check(err)
	ts.Logf("soak: seed %d for %v", seed, duration)
	s := &soak{ts: ts, rng: rand.New(rand.NewPCG(seed, seed))}
	for name := range stateOf(ts).processes {
		if _, err := os.Stat(ts.MkAbs(name + ".ini")); err == nil {
			s.daemons = append(s.daemons, name)
		}
	}
	s.engines = splitList(ts.Getenv("ENGINES"))
	c := startCallers(args, seed)
	s.run(time.Now().Add(duration))
	c.stopAndWait()
	checkJournals(ts, c.records, s.engines, ts.Getenv("SERVICE"))
	poll(ts, "a call is answered after the soak", soakRecoveryTimeout, func() (bool, string) {
		record := c.sendNew(rand.New(rand.NewPCG(seed, 0)), completion, 0)
		return record.outcome == "answered", record.String()
	})
}

// run injects faults until end and then waits until the active ones have ended.
func (s *soak) run(end time.Time) {
	sortNames(s.daemons)
	for time.Now().Before(end) {
		s.injectFault()
		s.sleep(time.Duration(s.rng.Int64N(int64(maxFaultInterval))))
	}
	s.sleep(maxFaultDuration)
}

// sleep waits for d and runs the repairs that fall due meanwhile.
func (s *soak) sleep(d time.Duration) {
	until := time.Now().Add(d)
	for {
		var pending []repair
		for _, r := range s.repairs {
			if time.Now().Before(r.at) {
				pending = append(pending, r)
				continue
			}
			r.run()
		}
		s.repairs = pending
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// injectFault injects one random fault.
func (s *soak) injectFault() {
	name := s.daemons[s.rng.IntN(len(s.daemons))]
	duration := time.Duration(s.rng.Int64N(int64(maxFaultDuration)))
	kind := s.rng.IntN(6)
	s.ts.Logf("soak: fault kind %d, process %s, for %v", kind, name, duration)
	switch kind {
	case 0: // crash
		s.stopAndRestart(name, func() { cmdKill(s.ts, false, []string{name}) }, duration)
	case 1: // graceful shutdown
		s.stopAndRestart(name, func() { cmdSignal(s.ts, false, []string{name}) }, duration)
	case 2: // suspension
		s.freeze(name, duration)
	case 3: // engine restart
		engine := s.engines[s.rng.IntN(len(s.engines))]
		post(s.ts, engine+"/admin/restart", "{}")
	default: // fault of the object API, twice as likely as each of the others
		mode := []string{"refuse", "lose_answer", "silent"}[s.rng.IntN(3)]
		platform := s.ts.Getenv("PLATFORM")
		post(s.ts, platform+"/admin/fault", fmt.Sprintf(`{"mode":%q}`, mode))
		s.scheduleRepair(duration, func() { post(s.ts, platform+"/admin/fault", "{}") })
	}
}

// testAndSetFaulty reports whether a fault is active at a process, and marks the
// process as faulty if not.
func (s *soak) testAndSetFaulty(name string) bool {
	st := stateOf(s.ts)
	if st.faulty[name] {
		return true
	}
	st.faulty[name] = true
	return false
}

func (s *soak) scheduleRepair(d time.Duration, run func()) {
	s.repairs = append(s.repairs, repair{at: time.Now().Add(d), run: run})
}

// stopAndRestart stops a process and starts it again after duration. It does
// nothing if a fault is active at the process.
func (s *soak) stopAndRestart(name string, stop func(), duration time.Duration) {
	if s.testAndSetFaulty(name) {
		return
	}
	stop()
	s.scheduleRepair(duration, func() {
		<-startedProcess(s.ts, name).done
		program := "targetd"
		if name[0] == 'e' {
			program = "entryd"
		}
		cmdStart(s.ts, false, []string{name, program, "-settings", name + ".ini"})
		stateOf(s.ts).faulty[name] = false
	})
}

func (s *soak) freeze(name string, duration time.Duration) {
	if s.testAndSetFaulty(name) {
		return
	}
	cmdFreeze(s.ts, false, []string{name})
	s.scheduleRepair(duration, func() {
		cmdThaw(s.ts, false, []string{name})
		stateOf(s.ts).faulty[name] = false
	})
}
