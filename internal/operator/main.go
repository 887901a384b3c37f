package operator

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/checkedhttp"
	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/pkg/routing"
)

// Exit codes of the program.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3 // another change was accepted first
	exitPartly   = 4 // accepted, but not known to be in force in every process
)

// callTimeout limits the total time of a command's calls to the object API, a
// targetd or the platform's store.
const callTimeout = 10 * time.Second

// command is one subcommand.
type command struct {
	name    string
	args    string
	summary string
	run     func(c *commandLine) int
}

// commandLine is a parsed command line with its output streams.
type commandLine struct {
	flags         *flag.FlagSet
	platform      string
	revision      uint64 // revision that a change is based on
	operator      string // name recorded with an accepted change
	wait          waitFlags
	drain         drainFlags
	explain       explainFlags
	platformStore string // address of the store of a deployment on the users' platform
	users         *Platform
	out           io.Writer
	err           io.Writer
}

var commands = []command{
	{"key", "", "generate a bearer key and print it with its digest", runKey},
	{"check", "FILE...", "check questionnaires", runCheck},
	{"generate", "FILE...", "print the configuration generated from questionnaires", runGenerate},
	{"diff", "FILE...", "show what accepting questionnaires would change", runDiff},
	{"accept", "FILE...", "accept the configuration generated from questionnaires", runAccept},
	{"status", "", "show the accepted revision and the targets", runStatus},
	{"drain", "TARGET", "drain a target: it finishes its running requests and takes no new ones", runDrain},
	{"explain", "[FILE]", "show what an entryd would do with a request now, without sending it", runExplain},
	{"trace", "REQUEST LOG...", "print the events of one request from log files", runTrace},
}

// Platform holds the commands' functions for deployments on the users' platform.
type Platform struct {
	// Status prints to out the state of a deployment, which it reads from the platform's
	// store at address store.
	Status func(ctx context.Context, store netip.AddrPort, out io.Writer) error
	// TakeKey removes the credentials from the headers of a caller's request. It returns
	// the digest of the key, and false if there is no valid one.
	TakeKey func(h http.Header) (routing.KeyDigest, bool)
}

// Main runs the program borageusher and returns its exit code. If users is nil, the
// command status has no flag -store and the command explain fails.
func Main(args []string, out, stderr io.Writer, users *Platform) int {
	if len(args) == 0 {
		printUsage(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "--help" || args[0] == "help" {
		printUsage(out)
		return exitOK
	}
	for _, cmd := range commands {
		if cmd.name == args[0] {
			return runCommand(cmd, args[1:], out, stderr, users)
		}
	}
	_, _ = fmt.Fprintf(stderr, "borageusher: unknown command %q\n\n", args[0])
	printUsage(stderr)
	return exitUsage
}

func runCommand(cmd command, args []string, out, stderr io.Writer, users *Platform) int {
	c := &commandLine{out: out, err: stderr, users: users}
	c.flags = flag.NewFlagSet("borageusher "+cmd.name, flag.ContinueOnError)
	c.flags.SetOutput(stderr)
	c.flags.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "usage: borageusher %s [flags] %s\n\n%s\n\n", cmd.name, cmd.args, cmd.summary)
		c.flags.PrintDefaults()
	}
	c.flags.StringVar(&c.platform, "platform", "127.0.0.1:7000", "`address` of the platform's object API")
	c.flags.Uint64Var(&c.revision, "revision", 0, "`revision` that diff showed; accept fails if another is in force")
	c.flags.StringVar(&c.operator, "operator", "", "`name` to record with an accepted change")
	if cmd.name == "drain" {
		c.drain.add(c)
	}
	if cmd.name == "explain" {
		c.explain.add(c.flags)
	}
	if (cmd.name == "status" || cmd.name == "explain") && users != nil {
		c.flags.StringVar(&c.platformStore, "store", "", "`address` of the store, for a deployment on the users' platform")
	}
	if cmd.name == "accept" {
		c.wait.add(c.flags)
	}
	if err := c.flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return exitOK
	} else if err != nil {
		return exitUsage
	}
	return cmd.run(c)
}

func printUsage(w io.Writer) {
	_, _ = io.WriteString(w, "usage: borageusher <command> [flags] [arguments]\n\nCommands:\n")
	for _, cmd := range commands {
		_, _ = fmt.Fprintf(w, "  %-9s %-8s %s\n", cmd.name, cmd.args, cmd.summary)
	}
	_, _ = io.WriteString(w, "\nRun \"borageusher <command> -h\" for a command's flags.\n")
}

// objectAPI returns a client of the object API at the address in the flags.
func (c *commandLine) objectAPI() (*objects.Client, error) {
	addr, err := netip.ParseAddrPort(c.platform)
	if err != nil {
		return nil, &Error{Op: "read flags", Kind: BadFlag, Err: err}
	}
	return objects.New(addr, checkedhttp.New(&http.Transport{MaxResponseHeaderBytes: objects.MaxHeaderBytes})).WithPurpose(objects.ForOperator), nil
}

// fail prints err and returns the exit code for it.
func (c *commandLine) fail(err error) int {
	_, _ = fmt.Fprintln(c.err, "borageusher:", err)
	if isKind(err, Conflict) {
		return exitConflict
	}
	if isKind(err, PartlyInForce) || isKind(err, NoReport) {
		return exitPartly
	}
	return exitFailure
}

func (c *commandLine) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.out, format, args...) // a failed write to the terminal can't be reported
}
