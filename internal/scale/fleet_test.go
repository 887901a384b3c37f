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

// programVariable names the program that a process of the test binary is to be.
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

// Waits of the experiments.
const (
	readyLimit = 60 * time.Second
	pollPause  = 20 * time.Millisecond
)

// Bearer key of the only team, and the digest that its questionnaire has.
const (
	teamKey       = "tessaro-example-key"
	teamKeyDigest = "007f811d951c956bfa220ff4999597d04075cb3e82a8b9c53e74f168986cfa2b"
)

// daemon is one started process.
type daemon struct {
	name string
	addr netip.AddrPort
	cmd  *exec.Cmd
}

// fleet is a deployment on loopback addresses of its own.
type fleet struct {
	t        *testing.T
	dir      string
	network  string
	platform netip.AddrPort
	daemons  []*daemon
}

// fleets counts the fleets of this test process.
var fleets int

// newFleet starts the platform's stand-in. The fleet ends with the test.
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

// addr returns an address of the fleet's network.
func (f *fleet) addr(block, host int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.%d.%d:8000", f.network, block, host))
}

// start starts a program as a process whose log goes to a file.
func (f *fleet) start(name, program string, addr netip.AddrPort, args ...string) *daemon {
	f.t.Helper()
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
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
		_ = d.cmd.Process.Kill() // may have ended
	}
	for _, d := range f.daemons {
		_ = d.cmd.Wait() // was killed
	}
}

// place is where a daemon runs.
type place struct{ region, zone string }

// places are the five availability zones of the planned size.
var places = []place{
	{"lombardy", "milano-a"},
	{"lombardy", "milano-b"},
	{"lombardy", "milano-c"},
	{"piedmont", "torino-a"},
	{"piedmont", "torino-b"},
}

// startEntry starts the i-th entryd.
func (f *fleet) startEntry(i int) *daemon {
	f.t.Helper()
	name := fmt.Sprintf("e%d", i)
	addr := f.addr(1+i/200, 1+i%200)
	path := f.writeSettings(name, i, addr, "[limits]\nin_progress = 100000\n")
	return f.start(name, "entryd", addr, "-settings", path)
}

// startTarget starts the i-th targetd, of a service whose back end is at behind.
func (f *fleet) startTarget(i int, kind, service string, behind netip.AddrPort) *daemon {
	f.t.Helper()
	name := fmt.Sprintf("t%d", i)
	addr := f.addr(20+i/200, 1+i%200)
	path := f.writeSettings(name, i, addr, fmt.Sprintf(
		"[target]\nteam = tessaro\nservice = %s\nkind = %s\nengine = %s\nslots = 64\nadapters = 64\nqueue = 1000\n",
		service, kind, behind))
	return f.start(name, "targetd", addr, "-settings", path)
}

func (f *fleet) writeSettings(name string, i int, addr netip.AddrPort, more string) string {
	f.t.Helper()
	at := places[i%len(places)]
	text := fmt.Sprintf("[process]\nname = %s\nregion = %s\nzone = %s\n[listen]\naddress = %s\n[platform]\naddress = %s\n"+
		"[peers]\nkey = scale-peer-key-000001\n[log]\nlevel = warn\n%s", name, at.region, at.zone, addr, f.platform, more)
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// accept accepts a configuration of the team with so many adapters, the first
// of them in the given version, on top of a revision.
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

// await waits until a GET of url answers 200.
func (f *fleet) await(url string) {
	f.t.Helper()
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) {
		if resp, err := http.Get(url); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // only the status matters
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(pollPause)
	}
	f.t.Fatalf("%s did not answer 200 within %v", url, readyLimit)
}

// awaitReady waits until the daemons take requests.
func (f *fleet) awaitReady(daemons []*daemon) {
	f.t.Helper()
	for _, d := range daemons {
		f.await("http://" + d.addr.String() + "/readyz")
	}
}
