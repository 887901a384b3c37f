package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/borageusher/borageusher/internal/agent"
	"github.com/borageusher/borageusher/internal/entry"
	"github.com/borageusher/borageusher/internal/operator"
	"github.com/borageusher/borageusher/internal/standin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"entryd":      func() { os.Exit(entry.Main(os.Args[1:], os.Stderr)) },
		"targetd":     func() { os.Exit(agent.Main(os.Args[1:], os.Stderr)) },
		"borageusher": func() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, nil)) },
		"standin":     func() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) },
	})
}

// longWordBytes is the length of $LONG_WORD.
const longWordBytes = 32 << 10

// networks counts the networks given to scripts.
var networks atomic.Int64

// nextNetwork returns the first three numbers of a /24 of loopback addresses
// that no other script of this machine uses.
func nextNetwork() string {
	n := networks.Add(1)
	return fmt.Sprintf("127.%d.%d", 1+os.Getpid()%250, n%250+1)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":        cmdStart,
			"stop_process": cmdStop,
			"kill_process": cmdKill,
			"freeze":       cmdFreeze,
			"thaw":         cmdThaw,
			"fault":        cmdFault,
			"post":         cmdPost,
			"settings":     cmdSettings,
			"certificate":  cmdCertificate,
			"call":         cmdCall,
			"wait_call":    cmdWaitCall,
			"call_began":   cmdCallBegan,
			"expect":       cmdExpect,
			"await":        cmdAwait,
			"at_most":      cmdAtMost,
			"signal":       cmdSignal,
			"ended":        cmdEnded,
			"mark":         cmdMark,
			"load":         cmdLoad,
			"soak":         cmdSoak,
			"streams":      cmdStreams,
			"wait_streams": cmdWaitStreams,
		},
	})
}

// stateKey finds a script's state among the values of its environment.
type stateKey struct{}

// state is what the commands of one script share.
type state struct {
	processes map[string]*process
	calls     map[string]*backgroundCall
	marks     map[string]int // where expect begins to read a log
	faulty    map[string]bool
	streams   map[string]*streamGroup
}

func setup(env *testscript.Env) error {
	network := nextNetwork()
	env.Setenv("NET", network)
	env.Setenv("PLATFORM", network+".1:7000")
	env.Setenv("WEIGHTS", network+".2:7000")
	env.Setenv("SOAK_FOR", fromEnv("SOAK_FOR", defaultSoak))
	env.Setenv("SOAK_SEED", fromEnv("SOAK_SEED", defaultSeed))
	env.Setenv("LONG_WORD", strings.Repeat("x", longWordBytes))
	s := &state{
		processes: map[string]*process{},
		calls:     map[string]*backgroundCall{},
		marks:     map[string]int{},
		faulty:    map[string]bool{},
		streams:   map[string]*streamGroup{},
	}
	env.Values[stateKey{}] = s
	env.Defer(s.killAll)
	examples, err := filepath.Glob("../../examples/*.ini")
	if err != nil {
		return err
	}
	for _, path := range examples {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, "example-"+filepath.Base(path)), data, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// fromEnv returns an environment variable of the test run, or fallback.
func fromEnv(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func stateOf(ts *testscript.TestScript) *state {
	return ts.Value(stateKey{}).(*state)
}
