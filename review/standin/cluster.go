package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A zone of the small deployment. All are in one region.
var zones = []string{"a", "b", "c"}

// cluster is a small deployment: a store, replicas, and the project's programs.
type cluster struct {
	rec       *recorder
	store     *store
	dir       string
	root      string // of the repository
	peerPort  int
	storeAddr string
	bounds    map[string]any

	mu    sync.Mutex
	procs []*process
}

// process is one program of the project that the script started.
type process struct {
	name  string
	args  []string
	file  string
	front string // address for clients
	ready string
	log   string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func newCluster(rec *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := filepath.Abs(os.Getenv("REVIEW_ROOT"))
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, root: root, store: newStore(rec)}
	c.bounds = map[string]any{
		"grace-s": 8, "config-apply-ms": 3000, "drain-ms": 3000, "version_ms": 5000, "stable-ms": 4000,
		"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 52,
	}
	c.peerPort = 20000 + os.Getpid()%12000
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.storeAddr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: c.store}).Serve(ln) }()
	return c, nil
}

// settings writes a settings file like that of the platform.
func (c *cluster) settings(name, class, ip, zone string, more map[string]any) (string, error) {
	s := map[string]any{
		"node-name": name, "role": class, "machine-class": class, "ip": ip, "zone": zone, "region": "north",
		"zones": map[string]string{"a": "north", "b": "north", "c": "north"}, "bootstrap": true,
		"internal-ports": []int{c.peerPort, c.peerPort + 15},
		"limits":         map[string]any{"cpu-share": 0.3, "cores": 1, "memory-mb": 284, "max-fds": 4100},
		"heartbeat-ms":   1200, "discovery": "platform", "entry": "vip", "bounds": c.bounds,
		"platform": map[string]any{"address": c.storeAddr, "form": "objects"},
	}
	for k, v := range more {
		s[k] = v
	}
	b, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.dir, name+".json")
	return file, os.WriteFile(file, b, 0o600)
}

func freeAddr(ip string) string {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return ip + ":0"
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// addEntry starts an entryd in a zone.
func (c *cluster) addEntry(i int) (*process, error) {
	zone := zones[i%len(zones)]
	name, ip := fmt.Sprintf("front-%s-1", zone), fmt.Sprintf("127.0.1.%d", 10+i)
	front, ready := freeAddr(ip), freeAddr(ip)
	file, err := c.settings(name, "front", ip, zone, map[string]any{
		"listen": map[string]string{"front": front, "ready": ready},
	})
	if err != nil {
		return nil, err
	}
	return c.start(&process{name: name, args: []string{"target/entryd", "platform"}, file: file, front: front, ready: ready})
}

// addTargetd starts a targetd beside an engine.
func (c *cluster) addTargetd(e *replica, i int) (*process, error) {
	name := fmt.Sprintf("side-%s-%d", e.zone, i)
	ip, _, _ := strings.Cut(e.addr, ":")
	file, err := c.settings(name, "side", ip, e.zone, map[string]any{"listen": map[string]string{}, "app": e.addr})
	if err != nil {
		return nil, err
	}
	return c.start(&process{name: name, args: []string{"target/targetd", "platform"}, file: file})
}

func (c *cluster) start(p *process) (*process, error) {
	p.log = filepath.Join(c.dir, p.name+".log")
	if err := c.run(p); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	return p, nil
}

// all returns all processes that were started.
func (c *cluster) all() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*process(nil), c.procs...)
}

// run starts the program of p once, with the command of the deploy file.
func (c *cluster) run(p *process) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, out, out
	cmd.Path = filepath.Join(c.root, p.args[0])
	cmd.Env = append(os.Environ(), "BORAGEUSHER_NODE_FILE="+p.file)
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	c.notePID(cmd.Process.Pid)
	c.rec.note("start %s pid=%d", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		c.rec.note("end %s: %v", p.name, err)
		_ = out.Close()
	}()
	return nil
}

// notePID adds a process to the file from which run.sh ends what is left if this program
// ends early.
func (c *cluster) notePID(pid int) {
	f, err := os.OpenFile(os.Getenv("REVIEW_PIDS"), os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return // not started by run.sh
	}
	_, _ = fmt.Fprintln(f, pid)
	_ = f.Close()
}

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// awaitReady waits until all given entries are ready.
func (c *cluster) awaitReady(entries []*process, within time.Duration) error {
	until := time.Now().Add(within)
	for _, p := range entries {
		for {
			resp, err := http.Get("http://" + p.ready + "/v1/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready: %v", p.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop kills all processes that were started and removes the folder.
func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.procs {
		_ = p.signal(syscall.SIGKILL)
	}
	time.Sleep(200 * time.Millisecond)
	_ = os.Truncate(os.Getenv("REVIEW_PIDS"), 0)
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		fmt.Println("logs:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}
