package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object map[string]any

// Zones of the small deployment, with their regions.
var (
	zoneNames = []string{"ploiesti-a", "cluj-a", "bucuresti-b"}
	regions   = object{"ploiesti-a": "muntenia", "cluj-a": "transilvania", "bucuresti-b": "muntenia"}
)

// ports are the ports of a run, the same on all machines.
type ports struct{ front, ready, app, internal, store int }

// cluster is the whole deployment of one run: the programs of the project as processes, the
// store, and the servers.
type cluster struct {
	record  *record
	dir     string // of the settings files
	target  string // folder of the programs
	network int    // second byte of all addresses
	ports   ports
	store   *store

	mu    sync.Mutex
	procs map[string]*process
	ready []bool // entry machines in rotation
	ended bool
}

// process is a program of the project on one machine. It is started again after it ended.
type process struct {
	name, program, ip, settings string
	cmd                         *exec.Cmd
	started, ended              time.Time
	downUntil                   time.Time // not started again before
}

// restartDelay is the delay after which the platform starts a process again.
const restartDelay = time.Second

func newCluster(r *record, target string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: r, dir: dir, target: target, procs: map[string]*process{}}
	for range 50 {
		c.network = 64 + rand.IntN(128)
		base := 21000 + 20*rand.IntN(500)
		c.ports = ports{front: base, ready: base + 1, app: base + 2, internal: base + 3, store: base + 9}
		if c.portsFree() {
			c.store = newStore(c.addr(c.ip(250), c.ports.store))
			return c, c.store.listen()
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", c.network, n) }

func (c *cluster) addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// portsFree reports whether the ports of the run are free on the first machines.
func (c *cluster) portsFree() bool {
	for port := c.ports.front; port <= c.ports.store; port++ {
		for _, n := range []int{1, 101, 250} {
			ln, err := net.Listen("tcp4", c.addr(c.ip(n), port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// frontIP and sideIP return the addresses of the machines, counted from zero.
func (c *cluster) frontIP(i int) string { return c.ip(1 + i) }
func (c *cluster) sideIP(i int) string  { return c.ip(101 + i) }

func zoneOf(i int) string { return zoneNames[i%len(zoneNames)] }

// bounds are those of the deployment dobrescu-flux.
var bounds = object{
	"seed-lag-s": 3, "addr-reuse-s": 2, "stable-ms": 4000, "ack-ms": 5000, "catch-up-s": 4, "drain-ms": 3000,
	"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-skew-ms": 6000,
	"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 52, "recover-s": 12, "pass-ms": 400,
	"again-s": 0, "require-fencing": false, "lease-ms": 3000, "thaw-ms": 300, "ceiling-window-s": 5,
	"load-overshoot": 1.1, "version_ms": 5000,
}

// streamRoute is the path prefix of the route with resumable streams.
const streamRoute = "/pufi791/"

// configuration returns the operator's configuration with one route of resumable streams.
func configuration() object {
	return object{
		"version": 7,
		"routes": []object{{
			"name": "r-1", "host": "ficu95.example", "path-prefix": streamRoute, "kind": "streaming", "timeout-ms": 15000,
			"target-latency-ms": 1000, "priority": 0, "service": flux, "max-attempts": 2, "sticky": true, "resumable": true, "gap-aim-ms": 400,
		}},
		"services": []object{{
			"name": flux, "health-path": "/healthz", "max-conns": 610, "protocol": "h1", "tls": false,
			"engine": object{
				"slots": engineSlots, "kv-capacity": 152003, "models": []object{{
					"name": modelName, "weights-mb": 34300, "load-s": 2.7, "adapters": 3000, "adapter-mb": 40, "warm-s": 0.78, "disk-s": 1.1,
				}},
				"weights-mb": 35700, "adapter-slots": adapterSlots, "loads-per-s": 2.9,
			},
		}},
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// settings returns the settings of a process, as in the platform's pages.
func (c *cluster) settings(name, class, ip, zone, service string) object {
	s := object{
		"node-name": name, "machine-class": class, "ip": ip, "zone": zone, "region": regions[zone], "zones": regions,
		"internal-ports": []int{c.ports.internal, c.ports.internal + 5}, "seeds": []string{}, "bootstrap": true,
		"in-fault-budget": false, "data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"fault-tolerance": object{"machines": 2, "zones": 0, "regions": 0},
		"bounds":          bounds,
		"platform": object{
			"address": c.store.addr, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
			"value-bytes": 1048576, "ttl-min-ms": 1000,
		},
	}
	if class == "front" {
		s["role"], s["serves"] = "entryd", []string{"front"}
		s["listen"] = object{"front": c.addr(ip, c.ports.front), "ready": c.addr(ip, c.ports.ready)}
		s["limits"] = object{"cpu-share": 0.304, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000, "disk-mb": 0}
		return s
	}
	s["role"], s["serves"], s["listen"] = "targetd", []string{"side"}, object{}
	s["app"], s["service"] = c.addr(ip, c.ports.app), service
	s["limits"] = object{"cpu-share": 0.32, "cores": 1, "memory-mb": 216, "max-fds": 4096, "link-mbps": 2000, "disk-mb": 0}
	return s
}

// startAll writes the configuration and starts the programs as the deploy file says. Traffic
// begins some seconds later.
func (c *cluster) startAll(fronts, sides int) error {
	c.store.put("config", "main", configuration())
	for i := range sides {
		name, ip := fmt.Sprintf("side-%d", i+1), c.sideIP(i)
		if err := c.start(name, "targetd", ip, c.settings(name, "side", ip, zoneOf(i), flux)); err != nil {
			return err
		}
	}
	for i := range fronts {
		name, ip := fmt.Sprintf("front-%d", i+1), c.frontIP(i)
		if err := c.start(name, "entryd", ip, c.settings(name, "front", ip, zoneOf(i), "")); err != nil {
			return err
		}
	}
	c.ready = make([]bool, fronts)
	for i := range fronts {
		go c.probe(i)
	}
	time.Sleep(3 * time.Second)
	return nil
}

// probe asks an entry machine once a second whether it is ready, as the platform does: two
// misses take it out, an answer of 200 brings it back.
func (c *cluster) probe(i int) {
	client := &http.Client{Timeout: time.Second}
	misses := 2
	for range time.Tick(time.Second) {
		resp, err := client.Get("http://" + c.addr(c.frontIP(i), c.ports.ready) + "/v1/ready")
		ok := err == nil && resp.StatusCode == 200
		if err == nil {
			_ = resp.Body.Close()
		}
		if misses++; ok {
			misses = 0
		}
		c.mu.Lock()
		c.ready[i] = misses < 2
		c.mu.Unlock()
	}
}

// rotation returns the entry machine that gets a new connection: the given one, or the next
// one that is in rotation.
func (c *cluster) rotation(i int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.ready {
		if at := (i + k) % len(c.ready); c.ready[at] {
			return at
		}
	}
	return i
}

func (c *cluster) start(name, program, ip string, settings object) error {
	path := filepath.Join(c.dir, name+".json")
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &process{name: name, program: program, ip: ip, settings: path}
	c.procs[name] = p
	return c.run(p)
}

// run starts a process. The caller holds mu.
func (c *cluster) run(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.target, p.program), "platform")
	cmd.Env = []string{"BORAGEUSHER_NODE_FILE=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.cmd, p.started = cmd, time.Now()
	c.record.printf("%s starts", p.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		p.ended = time.Now()
		if c.ended {
			return
		}
		c.record.printf("%s ends: %v", p.name, err)
		time.AfterFunc(max(restartDelay, time.Until(p.downUntil)), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !c.ended {
				if err := c.run(p); err != nil {
					c.record.printf("%s can't be started again: %v", p.name, err)
				}
			}
		})
	}()
	return nil
}

// signal sends a signal to processes, all at the same moment.
func (c *cluster) signal(s syscall.Signal, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		_ = c.procs[name].cmd.Process.Signal(s)
	}
	c.record.printf("%v to %v", s, names)
}

// inTouch reports whether a process ran without interruption for the bound stable-ms.
func (c *cluster) inTouch(name string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.procs[name]
	return p.started.After(p.ended) && at.Sub(p.started) >= 4*time.Second
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close(keepLogs bool) {
	c.mu.Lock()
	c.ended = true
	for _, p := range c.procs {
		_ = p.cmd.Process.Kill()
	}
	c.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if keepLogs {
		fmt.Println("logs:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// record is the text file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.buf, "%8.3f s  ", time.Since(r.start).Seconds())
	fmt.Fprintf(&r.buf, format+"\n", args...)
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, r.buf.Bytes(), 0o644)
}
