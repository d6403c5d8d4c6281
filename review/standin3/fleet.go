package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a gate or an agent as the deploy file runs it.
type process struct {
	fleet          *fleet
	name, role, ip string
	memoryMB       int

	mu     sync.Mutex
	cmd    *exec.Cmd
	closed bool
	peakKB int
	kills  int // by the platform, for memory over the limit
}

// fleet is a small deployment on loopback addresses: 4 gates and 11 runners with their agents.
type fleet struct {
	dir, prefix string
	rec         *recorder
	store       *store
	gates       []*process
	agents      []*process
	runners     []*runner
	version     int
}

const (
	frontPort, readyPort, controlPort, peerPort, appPort = 8521, 8523, 8526, 7000, 8529
	poolName                                             = "pool1"
	host                                                 = "jobs.example"
)

// queues of the manifest, by priority.
var prefixes = []string{"/urgent/", "/normal/", "/batch/"}

// launch starts a deployment and waits until it is ready.
func (f *fleet) launch(gates, agents int) error {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return err
	}
	f.dir = dir
	for range 20 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), 1+rand.Intn(250))
		if f.store, err = newStore(f.prefix + "250:8524"); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	f.configure()
	for i := range gates {
		p := &process{fleet: f, name: fmt.Sprintf("front-%d", i+1), role: "gate", ip: f.prefix + strconv.Itoa(i+1), memoryMB: 284}
		f.gates = append(f.gates, p)
	}
	for i := range agents {
		ip := f.prefix + strconv.Itoa(i+11)
		p := &process{fleet: f, name: fmt.Sprintf("side-%d", i+1), role: "agent", ip: ip, memoryMB: 152}
		f.agents = append(f.agents, p)
		f.runners = append(f.runners, &runner{
			id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), address: fmt.Sprintf("%s:%d", ip, appPort), control: fmt.Sprintf("%s:%d", ip, controlPort),
			pool: poolName, rack: fmt.Sprintf("r1-%d", i/3), cpu: 32000, memory: 65536, gpu: 8, rec: f.rec,
		})
	}
	for _, p := range f.processes() {
		if err := p.launch(); err != nil {
			return err
		}
	}
	for _, r := range f.runners {
		if err := r.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range f.gates {
		for !g.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// configure writes the manifest.
func (f *fleet) configure() {
	f.version += 3
	var routes []map[string]any
	for i, prefix := range prefixes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000,
			"target_duration_ms": []int{300, 1000, 3000}[i], "priority": i, "backend": poolName, "max_attempts": []int{3, 2, 3}[i],
			"stretch": []float64{1.5, 3, 3}[i], "public": false,
		})
	}
	m := map[string]any{
		"version": f.version, "routes": routes, "services": []any{map[string]any{"name": poolName, "admission_check": false}},
		"tenants": []any{
			map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}, "guaranteed": map[string]int{"gpu": 16}},
			map[string]any{"name": "tenant-b", "api_keys": []string{"key-b"}, "guaranteed": map[string]int{"gpu": 16}},
		},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144},
	}
	data, _ := json.Marshal(m)
	f.store.put("op", "config", data)
}

func (f *fleet) settings(p *process) map[string]any {
	side := p.role == "agent"
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", f.prefix, i+1, controlPort))
	}
	s := map[string]any{
		"node": p.name, "role": p.role, "ip": p.ip, "zone": "z1", "region": "reg", "zones": map[string]string{"z1": "reg"},
		"port_range": []int{peerPort, peerPort + 15}, "seeds": seeds, "bootstrap": true, "heartbeat_ms": 1500,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "recovery_s": 12, "hold_max_ms": 10000,
			"stop_grace_ms": 900, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"checkpoint_s": 0.5, "restore_ms": 600, "lease_ttl_ms": 3000, "harm_ms": 4000, "reclaim_ms": 3400,
		},
		"orders": "invoke", "platform": map[string]any{
			"address": f.store.address, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "txn_ms": 3.0, "row_bytes": 65536, "history_s": 20,
		},
	}
	if side {
		s["listen"] = map[string]string{"control": fmt.Sprintf("%s:%d", p.ip, controlPort)}
		s["app"], s["backend"] = fmt.Sprintf("%s:%d", p.ip, appPort), poolName
		s["limits"] = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 152, "max_fds": 4096}
	} else {
		s["listen"] = map[string]string{"front": fmt.Sprintf("%s:%d", p.ip, frontPort), "ready": fmt.Sprintf("%s:%d", p.ip, readyPort), "control": fmt.Sprintf("%s:%d", p.ip, controlPort)}
		s["limits"] = map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100}
	}
	return s
}

// launch starts the process. One that ends is started again after a second.
func (p *process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	data, _ := json.Marshal(p.fleet.settings(p))
	path := filepath.Join(p.fleet.dir, p.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lovageroad", "serve", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.fleet.dir, "LOVAGEROAD_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		p.fleet.rec.write("process ended", p.name, err)
		time.Sleep(time.Second)
		_ = p.launch()
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// anonKB returns the anonymous resident memory of the process in KB.
func (p *process) anonKB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n
		}
	}
	return 0
}

// leader returns the gate that the row of the lease names, or nil.
func (f *fleet) leader() *process {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	var lease struct{ Holder string }
	_ = json.Unmarshal(f.store.rows[rowKey{"lease", "", "leader"}].Value, &lease)
	for _, p := range f.gates {
		if strings.HasPrefix(lease.Holder, p.ip+":") {
			return p
		}
	}
	return nil
}

// processes returns the gates and the agents.
func (f *fleet) processes() []*process {
	return append(append([]*process{}, f.gates...), f.agents...)
}

// watchMemory does as the platform does until it is stopped: a process over its memory_mb is
// killed, and started again after a short delay. Only anonymous memory counts here.
func (f *fleet) watchMemory() (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for _, p := range f.processes() {
				p.checkMemory()
			}
		}
	}()
	return func() { close(done) }
}

func (p *process) checkMemory() {
	kb := p.anonKB()
	p.mu.Lock()
	p.peakKB = max(p.peakKB, kb)
	over := kb > p.memoryMB<<10
	if over {
		p.kills++
	}
	p.mu.Unlock()
	if over {
		p.fleet.rec.write("platform kills", p.name, "with", kb>>10, "MB of", p.memoryMB)
		p.signal(syscall.SIGKILL)
	}
}

// memoryKills returns how often the process was killed for its memory, and its peak in MB.
func (p *process) memoryKills() (kills, peak int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kills, p.peakKB >> 10
}

// longestIdle watches jobs of one step with count work items each, and returns the longest time
// for which one had no work item running though not all had ended as done.
func (f *fleet) longestIdle(ids []string, count int, watch time.Duration) time.Duration {
	worst, since := time.Duration(0), make(map[string]time.Time)
	for began := time.Now(); time.Since(began) < watch; time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			switch {
			case f.rec.jobBusyOrDone(id, count):
				delete(since, id)
			case since[id].IsZero():
				since[id] = time.Now()
			default:
				worst = max(worst, time.Since(since[id]))
			}
		}
	}
	return worst
}

// close ends all that was started.
func (f *fleet) close() {
	if f == nil {
		return
	}
	for _, p := range f.processes() {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, r := range f.runners {
		r.crash()
	}
	if f.store != nil {
		_ = f.store.server.Close()
	}
	time.Sleep(200 * time.Millisecond)
	_ = os.RemoveAll(f.dir)
}

// call sends a client's request to a gate. status is 0 if there is no answer.
func (f *fleet) call(gate int, method, path, key string, body any, header ...string) (status int, answer string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", f.gates[gate].ip, frontPort, path), bytes.NewReader(data))
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Lovageroad-Deadline-Ms", "3000")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in as the clients do: again at another gate after no answer, 502, 504, 429
// or 503. It reports whether it was accepted.
func (f *fleet) submit(path, key string, job any) bool {
	for try := range 5 {
		status, answer := f.call(try%len(f.gates), http.MethodPost, path, key, job)
		f.rec.write("POST", path, "at", f.gates[try%len(f.gates)].name, "->", status, answer)
		if status == http.StatusOK {
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job at each gate until one answers, and returns "" if none does.
func (f *fleet) state(path, key string) string {
	for i := range f.gates {
		status, answer := f.call(i, http.MethodGet, path, key, nil)
		if status == http.StatusOK || status == http.StatusGone {
			f.rec.write("GET", path, "at", f.gates[i].name, "->", status, answer)
			var s struct{ State string }
			_ = json.Unmarshal([]byte(answer), &s)
			if status == http.StatusGone {
				return "410"
			}
			return s.State
		}
		f.rec.write("GET", path, "at", f.gates[i].name, "->", status, answer)
	}
	return ""
}

// awaitState asks for a job twice a second until it is in the state or the time is over.
func (f *fleet) awaitState(path, key, want string, limit time.Duration) string {
	deadline := time.Now().Add(limit)
	for {
		got := f.state(path, key)
		if got == want || time.Now().After(deadline) {
			return got
		}
		time.Sleep(500 * time.Millisecond)
	}
}
