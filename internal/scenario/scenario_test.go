package scenario

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/smartystreets/goconvey/convey"

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

// networkCount is the number of networks allocated to scripts.
var networkCount atomic.Int64

// processNetwork returns the second octet of the loopback addresses of this process
// and the listener that reserves it, which stays open until the process ends.
var processNetwork = sync.OnceValues(func() (int, net.Listener) { return reserveNetwork(os.Getpid()) })

// networkLock is the last part of the address whose listener reserves a network.
// No script uses the third octet.
const networkLock = "255.1:19999"

// reserveNetwork reserves a /16 of loopback addresses that no other process on
// this machine has reserved, and returns its second octet. The search begins at a
// number that differs between processes. The listener holds the reservation.
func reserveNetwork(first int) (octet int, lock net.Listener) {
	const octets = 250
	for i := range octets {
		octet = 1 + (first+i)%octets
		ln, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%s", octet, networkLock))
		if err == nil {
			return octet, ln
		}
	}
	panic("scenario: all loopback networks are in use")
}

// nextNetwork returns the first three octets of a /24 of loopback addresses that
// no other script on this machine uses.
func nextNetwork() string {
	n := networkCount.Add(1)
	octet, _ := processNetwork()
	return fmt.Sprintf("127.%d.%d", octet, n%250+1)
}

func TestReserveNetwork(t *testing.T) {
	convey.Convey("Two reservations that begin at the same number get different networks", t, func() {
		a, lockA := reserveNetwork(7)
		b, lockB := reserveNetwork(7)
		defer func() { _, _ = lockA.Close(), lockB.Close() }()
		convey.So(a, convey.ShouldNotEqual, b)
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":         cmdStart,
			"stop_process":  cmdStop,
			"kill_process":  cmdKill,
			"freeze":        cmdFreeze,
			"thaw":          cmdThaw,
			"fault":         cmdFault,
			"post":          cmdPost,
			"settings":      cmdSettings,
			"certificate":   cmdCertificate,
			"call":          cmdCall,
			"wait_call":     cmdWaitCall,
			"call_began":    cmdCallBegan,
			"ran_as_stated": cmdRanAsStated,
			"expect":        cmdExpect,
			"await":         cmdAwait,
			"at_most":       cmdAtMost,
			"signal":        cmdSignal,
			"ended":         cmdEnded,
			"mark":          cmdMark,
			"load":          cmdLoad,
			"soak":          cmdSoak,
			"streams":       cmdStreams,
			"wait_streams":  cmdWaitStreams,
		},
	})
}

// scriptStateKey is the key of a script's state in the values of its environment.
type scriptStateKey struct{}

// scriptState is the state that the commands of one script share.
type scriptState struct {
	processes  map[string]*process
	calls      map[string]*backgroundCall
	logOffsets map[string]int  // by process: bytes of its log that expect and at_most skip
	faulty     map[string]bool // by process: a fault of the soak is active
	streams    map[string]*streamGroup
}

// setup prepares the environment and work directory that the package comment
// describes.
func setup(env *testscript.Env) error {
	network := nextNetwork()
	env.Setenv("NET", network)
	env.Setenv("PLATFORM", network+".1:7000")
	env.Setenv("WEIGHTS", network+".2:7000")
	env.Setenv("SOAK_FOR", envOr("SOAK_FOR", defaultSoakDuration))
	env.Setenv("SOAK_SEED", envOr("SOAK_SEED", defaultSoakSeed))
	env.Setenv("LONG_WORD", strings.Repeat("x", longWordBytes))
	s := &scriptState{
		processes:  map[string]*process{},
		calls:      map[string]*backgroundCall{},
		logOffsets: map[string]int{},
		faulty:     map[string]bool{},
		streams:    map[string]*streamGroup{},
	}
	env.Values[scriptStateKey{}] = s
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

// envOr returns an environment variable of the test process, or fallback if it
// is empty.
func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(scriptStateKey{}).(*scriptState)
}
