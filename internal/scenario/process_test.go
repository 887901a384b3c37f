package scenario

import (
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// stopTimeout bounds the wait for the exit of a process; after it the script fails.
const stopTimeout = 60 * time.Second

// process is a process that a script started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed after the process has exited
}

func (s *scriptState) killAll() {
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill() // fails if the process has exited
		<-p.done
	}
}

func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM [ARG...]")
	}
	s := stateOf(ts)
	name := args[0]
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	cmd := exec.Command(path, args[2:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Stdout = log
	cmd.Stderr = log
	// If the shell that started the tests in the background exits, the kernel sends SIGHUP
	// and SIGCONT to its process group, should one of that be frozen at the time.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	s.processes[name] = p
	go func() {
		_ = cmd.Wait() // the exit code is read from cmd.ProcessState
		_ = log.Close()
		close(p.done)
	}()
}

func startedProcess(ts *testscript.TestScript, name string) *process {
	p := stateOf(ts).processes[name]
	if p == nil {
		ts.Fatalf("process %s was not started", name)
	}
	return p
}

func singleArg(ts *testscript.TestScript, neg bool, args []string, usage string) string {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: %s", usage)
	}
	return args[0]
}

func cmdStop(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: stop_process NAME [EXITCODE]")
	}
	cmdSignal(ts, false, args[:1])
	cmdEnded(ts, false, args)
}

func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	p := startedProcess(ts, singleArg(ts, neg, args, "signal NAME"))
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
}

func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: ended NAME [EXITCODE]")
	}
	want := 0
	if len(args) == 2 {
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		want = n
	}
	p := startedProcess(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		ts.Fatalf("%s did not stop within %v", args[0], stopTimeout)
	}
	if got := p.cmd.ProcessState.ExitCode(); got != want {
		ts.Fatalf("%s exited with code %d, want %d", args[0], got, want)
	}
}

func cmdKill(ts *testscript.TestScript, neg bool, args []string) {
	p := startedProcess(ts, singleArg(ts, neg, args, "kill_process NAME"))
	ts.Check(p.cmd.Process.Kill())
	<-p.done
}

func cmdFreeze(ts *testscript.TestScript, neg bool, args []string) {
	p := startedProcess(ts, singleArg(ts, neg, args, "freeze NAME"))
	ts.Check(p.cmd.Process.Signal(syscall.SIGSTOP))
}

func cmdThaw(ts *testscript.TestScript, neg bool, args []string) {
	p := startedProcess(ts, singleArg(ts, neg, args, "thaw NAME"))
	ts.Check(p.cmd.Process.Signal(syscall.SIGCONT))
}
