package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB    = 284             // memory-mb of an entry machine in the settings
	uploadBytes = 4000000         // of one body; max-body-bytes is 4,194,304
	uploadTime  = 3 * time.Second // 10.7 Mbit/s
	usualUsers  = 16              // uploads at once on a usual day
	burst       = 2.4             // times as many users in the burst
)

// memoryOf returns the resident memory of a process in MiB.
func memoryOf(p *process) float64 {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	s := bufio.NewScanner(f)
	for s.Scan() {
		if rest, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// limitMemory plays the platform: it kills a process that exceeds its memory, and starts
// it again.
func limitMemory(c *cluster, p *process, stop <-chan struct{}, peak *float64, kills *int, mu *sync.Mutex) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		m := memoryOf(p)
		mu.Lock()
		*peak = max(*peak, m)
		mu.Unlock()
		if m <= memoryMB {
			continue
		}
		c.rec.note("%s uses %.0f MiB, more than memory-mb: killed", p.name, m)
		mu.Lock()
		*kills++
		mu.Unlock()
		_ = p.signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := c.run(p); err != nil {
			c.rec.note("%s can't start again: %v", p.name, err)
			return
		}
	}
}

// slowBody is a body of n bytes that a client sends over d, without saying its length.
type slowBody struct {
	left  int
	pause time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	n := min(len(p), b.left, 32<<10)
	for i := range p[:n] {
		p[i] = 'z'
	}
	b.left -= n
	return n, nil
}

// upload sends one body in chunks.
func upload(c *cluster, client *http.Client, entry *process) int {
	id := fmt.Sprintf("%016x", 0x1000000+lastRequest.Add(1))
	req, err := http.NewRequest("POST", "http://"+entry.front+"/upload/file", &slowBody{uploadBytes, uploadTime * (32 << 10) / uploadBytes})
	if err != nil {
		panic(err)
	}
	req.Host = "h.example"
	req.Header.Set("Borageusher-Request-Id", id)
	req.Header.Set("Borageusher-Deadline-Ms", "15000")
	c.rec.note("client uploads %s to %s", id, entry.name)
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	c.rec.note("client's upload %s ends with status=%d err=%v", id, status, errText(err))
	return status
}

func init() { cases["chunked-uploads"] = chunkedUploads }

// chunkedUploads plays a burst of users who upload files in chunks, all within
// max-body-bytes, beside streams on kept connections.
func chunkedUploads(c *cluster, trouble bool) (int, error) {
	d, err := deploy(c, func(r *replica) {
		if r.engine {
			r.work, r.events, r.gap = 115*time.Millisecond, 20, 50*time.Millisecond
		}
	})
	if err != nil {
		return exitNotRun, err
	}
	entry := d.entries[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	peak, kills := 0.0, 0
	go limitMemory(c, entry, stop, &peak, &kills, &mu)
	statuses, uploads := map[int]int{}, map[int]int{}
	lost, cut := 0, 0
	client := newClient(c.rec)
	client.http.Transport.(*http.Transport).MaxIdleConnsPerHost = 64
	go every(33*time.Millisecond, stop, func(n int) {
		h := map[string]string{
			"Borageusher-Model":         "m0",
			"Borageusher-Token-Count":   "600,20",
			"Borageusher-Prompt-Prefix": fmt.Sprintf("f0f0f0f0:93,%08x:62,%08x:445", 0xa000+n%7, 0x10000+n),
		}
		a := client.send(entry, "POST", "h.example", "/ask/q", fmt.Sprintf("question %d", n), 10*time.Second, h)
		mu.Lock()
		defer mu.Unlock()
		statuses[a.status]++
		switch {
		case a.status != 0 || !a.kept || !d.runs.has(a.id):
		case a.begun:
			cut++
		default:
			lost++
		}
	})
	time.Sleep(5 * time.Second)
	var all sync.WaitGroup
	for round := range 9 {
		users := usualUsers
		if trouble && round >= 2 && round%2 == 0 { // four bursts, each between usual rounds
			users = int(math.Round(burst * float64(usualUsers)))
		}
		for i := range users {
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(time.Duration(i) * 500 * time.Millisecond / time.Duration(users))
				s := upload(c, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, entry)
				mu.Lock()
				uploads[s]++
				mu.Unlock()
			}()
		}
		time.Sleep(6 * time.Second)
		mu.Lock()
		c.rec.result("round %d: %d users, most memory so far %.0f MiB, killed %d times", round+1, users, peak, kills)
		mu.Unlock()
	}
	close(stop)
	all.Wait()
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	c.rec.result("uploads by status (0: the connection ended): %v; streams by status: %v", uploads, statuses)
	c.rec.result("%s exceeded %d MiB %d times; requests from kept connections that a sound replica ran and whose connection ended without any answer: %d (the rule allows 3); besides, with a part of one: %d", entry.name, memoryMB, kills, lost, cut)
	if lost > 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
