//go:build scale

package scale

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/borageusher/borageusher/internal/agent"
	"github.com/borageusher/borageusher/internal/entry"
	"github.com/borageusher/borageusher/internal/operator"
	"github.com/borageusher/borageusher/internal/standin"
)

// programVariable names the environment variable with the program that a process
// of the test binary runs, in place of the tests.
const programVariable = "BORAGEUSHER_SCALE_PROGRAM"

func TestMain(m *testing.M) {
	switch os.Getenv(programVariable) {
	case "entryd":
		os.Exit(entry.Main(os.Args[1:], os.Stderr))
	case "targetd":
		os.Exit(agent.Main(os.Args[1:], os.Stderr))
	case "borageusher":
		os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, nil))
	case "standin":
		os.Exit(standin.Main(os.Args[1:], os.Stderr))
	}
	os.Exit(m.Run())
}

// Timeout and polling interval of the waits.
const (
	readyTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// API key of the only team, and the digest of the key in the configuration.
const (
	teamKey       = "tessaro-example-key"
	teamKeyDigest = "007f811d951c956bfa220ff4999597d04075cb3e82a8b9c53e74f168986cfa2b"
)

// daemon is a started process.
type daemon struct {
	name string
	addr netip.AddrPort
	cmd  *exec.Cmd
}

// fleet is a deployment on a separate loopback network.
type fleet struct {
	t        *testing.T
	dir      string
	network  string // first two octets of its addresses
	platform netip.AddrPort
	daemons  []*daemon
}

// fleets is the number of fleets that this test process has created.
var fleets int

// newFleet starts a fleet with the platform's stand-in only. All its processes are
// killed at the end of the test.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	fleets++
	f := &fleet{t: t, dir: t.TempDir(), network: fmt.Sprintf("127.%d", 100+(os.Getpid()+fleets)%100)}
	t.Cleanup(f.killAll)
	p := f.start("platform", "standin", f.addr(0, 1), "platform", "-listen", f.addr(0, 1).String())
	f.platform = p.addr
	f.await("http://" + p.addr.String() + "/v1/vms")
	return f
}

// addr returns the address NETWORK.block.host:8000 of the fleet.
func (f *fleet) addr(block, host int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.%d.%d:8000", f.network, block, host))
}

// start starts a program as a process that logs to a file.
func (f *fleet) start(name, program string, addr netip.AddrPort, args ...string) *daemon {
	f.t.Helper()
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has its own file descriptor
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), programVariable+"="+program)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	d := &daemon{name: name, addr: addr, cmd: cmd}
	f.daemons = append(f.daemons, d)
	return d
}

func (f *fleet) killAll() {
	for _, d := range f.daemons {
		_ = d.cmd.Process.Kill() // fails if the process has exited
	}
	for _, d := range f.daemons {
		_ = d.cmd.Wait() // reports the kill as an error
	}
}

// location is the region and availability zone of a daemon.
type location struct{ region, zone string }

// locations are the five availability zones of the planned deployment.
var locations = []location{
	{"lombardy", "milano-a"},
	{"lombardy", "milano-b"},
	{"lombardy", "milano-c"},
	{"piedmont", "torino-a"},
	{"piedmont", "torino-b"},
}

// startEntryd starts the i-th entryd.
func (f *fleet) startEntryd(i int) *daemon {
	f.t.Helper()
	name := fmt.Sprintf("e%d", i)
	addr := f.addr(1+i/200, 1+i%200)
	path := f.writeSettings(name, i, addr, "[limits]\nin_progress = 100000\n")
	return f.start(name, "entryd", addr, "-settings", path)
}

// startTargetd starts the i-th targetd, whose target is the back end at the given
// address and belongs to a service of the given kind.
func (f *fleet) startTargetd(i int, kind, service string, backend netip.AddrPort) *daemon {
	f.t.Helper()
	name := fmt.Sprintf("t%d", i)
	addr := f.addr(20+i/200, 1+i%200)
	path := f.writeSettings(name, i, addr, fmt.Sprintf(
		"[target]\nteam = tessaro\nservice = %s\nkind = %s\nengine = %s\nslots = 64\nadapters = 64\nqueue = 1000\n",
		service, kind, backend))
	return f.start(name, "targetd", addr, "-settings", path)
}

// writeSettings writes the settings file of the i-th process of a kind and returns
// its path. The argument sections holds further sections of the file.
func (f *fleet) writeSettings(name string, i int, addr netip.AddrPort, sections string) string {
	f.t.Helper()
	at := locations[i%len(locations)]
	text := fmt.Sprintf("[process]\nname = %s\nregion = %s\nzone = %s\n[listen]\naddress = %s\n[platform]\naddress = %s\n"+
		"[peers]\nkey = scale-peer-key-000001\n[log]\nlevel = warn\n%s", name, at.region, at.zone, addr, f.platform, sections)
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// accept accepts a configuration that replaces the given revision, 0 for the
// first one. It has the given number of adapters, the first of them with the
// given version and the others with version 1.
func (f *fleet) accept(revision, adapters, version int) {
	f.t.Helper()
	var b strings.Builder
	b.WriteString("[team]\nname = tessaro\nkey_digests = " + teamKeyDigest + "\n[service.assistente]\nbase = base-7b\n[service.fees]\nkind = plain\n[adapters.assistente]\n")
	for i := 0; i < adapters; i++ {
		if i == 0 {
			_, _ = fmt.Fprintf(&b, "adapter-%d = %d*\n", i, version)
			continue
		}
		_, _ = fmt.Fprintf(&b, "adapter-%d = 1*\n", i)
	}
	path := filepath.Join(f.dir, "questionnaire.ini")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "accept", "-platform", f.platform.String(), "-revision", fmt.Sprint(revision), path)
	cmd.Env = append(os.Environ(), programVariable+"=borageusher")
	if out, err := cmd.CombinedOutput(); err != nil {
		f.t.Fatalf("accept: %v\n%s", err, out)
	}
}

// await waits until a GET of url gets status 200. It fails the test after
// readyTimeout.
func (f *fleet) await(url string) {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if resp, err := http.Get(url); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(pollInterval)
	}
	f.t.Fatalf("%s did not respond with status 200 within %v", url, readyTimeout)
}

// awaitReady waits until the daemons report that they are ready.
func (f *fleet) awaitReady(daemons []*daemon) {
	f.t.Helper()
	for _, d := range daemons {
		f.await("http://" + d.addr.String() + "/readyz")
	}
}
