package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

const (
	pool       = "lauku-atskaites"
	secondPool = "lauku-atskaites-2"
	apiKey     = "d4a3hwrr6x73d3zji9n7"
	host       = "nony24.example"
	prefix     = "/lohu930/"
	clientWait = 3 * time.Second

	frontPort, readyPort, controlPort, peerPort, appPort, storePort, metricsPort = 8521, 8523, 8526, 7000, 8529, 8524, 9100

	// storeMachine is the last number of the store's address. That of the link between a
	// machine and the store is the machine's plus linkOffset.
	storeMachine = 250
	linkOffset   = 100
)

type (
	// record is what was sent, answered and run.
	record struct {
		mu     sync.Mutex
		file   *os.File
		began  time.Time
		starts map[string]firstStart
	}

	// firstStart is the first start of a work item of a job, on a runner of the pool.
	firstStart struct {
		at   time.Time
		pool string
	}

	// world is a small deployment on loopback addresses.
	world struct {
		network string
		folder  string
		record  *record
		store   *store

		// classes has the size of a gate's machine, by the machine's number. The default is
		// that of the small deployments, whose links are not limited here.
		classes map[int]machineClass
		mu      sync.Mutex
		gates   []*process
		agents  []*process
		runners []*runner
		client  *http.Client
		nextJob uint64
	}

	// machineClass is the size of a machine: the share of a core that it has, and the rate
	// of its link to the store in Mbit/s, which is not limited if limited is false.
	machineClass struct {
		share, megabits float64
		memory, files   int
		limited         bool
	}

	// process is a gate or an agent on a machine of its own.
	process struct {
		role, node string
		machine    int
		command    *exec.Cmd
		done       chan struct{}
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now(), starts: make(map[string]firstStart)}, nil
}

// add writes a line with the time since the beginning.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// started notes the first start of a work item of a job.
func (r *record) started(task, pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	if _, ok := r.starts[job]; !ok {
		r.starts[job] = firstStart{at: time.Now(), pool: pool}
	}
}

// firstStart returns the first start of a work item of a job, and false if there is none.
func (r *record) firstStart(job string) (firstStart, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start, ok := r.starts[job]
	return start, ok
}

// newWorld starts the platform's store, which has a manifest.
func newWorld(rec *record) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, record: rec, client: &http.Client{Timeout: clientWait}, nextJob: rand.Uint64()}
	for range 20 {
		w.network = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
		if w.store, err = newStore(w.address(storeMachine, storePort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	return w, w.putManifest(7, pool)
}

// putManifest writes a version of the manifest, by which the queue is run by the runners of a
// pool.
func (w *world) putManifest(version int, queuePool string) error {
	var services []map[string]any
	for _, name := range []string{pool, secondPool} {
		services = append(services, map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "admission_check": false, "standby": false})
	}
	manifest, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-7ejsmzz", "host": host, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000, "target_duration_ms": 1000,
			"priority": 1, "backend": queuePool, "max_attempts": 4, "stretch": 3.0, "public": false,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants":  []map[string]any{{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 0}}},
	})
	if err != nil {
		return err
	}
	w.store.put("op", "config", manifest)
	w.record.add("manifest %d acknowledged: the queue is run by %s", version, queuePool)
	return nil
}

func (w *world) address(machine, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s%d", w.network, machine), fmt.Sprint(port))
}

// class returns the size of a machine.
func (w *world) class(machine int) machineClass {
	if class, ok := w.classes[machine]; ok {
		return class
	}
	return machineClass{share: 0.4, megabits: 1000, memory: 284, files: 4100}
}

// close ends all processes that were started and removes their folder.
func (w *world) close() {
	for _, p := range append(append([]*process{}, w.gates...), w.agents...) {
		p.kill()
	}
	_ = os.RemoveAll(w.folder)
}

// writeSettings writes the settings file of a process. Its seeds are the given gates.
func (w *world) writeSettings(p *process, seeds []*process) (string, error) {
	addresses := make([]string, 0, len(seeds))
	for _, s := range seeds[:min(len(seeds), 3)] {
		addresses = append(addresses, w.address(s.machine, controlPort))
	}
	storeAddress := w.address(storeMachine, storePort)
	class := w.class(p.machine)
	if class.limited {
		storeAddress = w.address(p.machine+linkOffset, storePort)
	}
	settings := map[string]any{
		"node": p.node, "role": p.role, "ip": fmt.Sprintf("%s%d", w.network, p.machine), "zone": "cesis", "region": "vidzeme",
		"zones": map[string]string{"cesis": "vidzeme"}, "port_range": []int{peerPort, peerPort + 15}, "seeds": addresses, "bootstrap": true,
		"limits": map[string]any{
			"cpu_share": class.share, "cores": 1, "memory_mb": class.memory, "max_fds": class.files, "link_mbps": class.megabits, "disk_mb": 0,
		},
		"discovery": "local", "entry": "vip", "heartbeat_ms": heartbeatInterval.Milliseconds(), "orders": "invoke",
		"bounds": map[string]any{
			"seed_lag_s": 3, "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "recovery_s": 12,
			"hold_max_ms": maxHold.Milliseconds(), "stop_grace_ms": 400, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"finish_s": 14, "status_s": 120, "far_factor": 3,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "txn_ms": 3.0, "part_writes_per_s": 300,
			"row_bytes": maxRowBytes, "cross_shard": true, "history_s": 20,
		},
	}
	if p.role == "gate" {
		settings["machine_class"], settings["serves"] = "front", []string{"front", "control"}
		settings["listen"] = map[string]string{
			"front": w.address(p.machine, frontPort), "ready": w.address(p.machine, readyPort), "control": w.address(p.machine, controlPort),
		}
	} else {
		settings["machine_class"], settings["serves"] = "side", []string{"side"}
		settings["listen"] = map[string]string{"control": w.address(p.machine, controlPort)}
		settings["app"], settings["backend"] = w.address(p.machine, appPort), pool
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.folder, p.node+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the process of a role with the command of the deploy file.
func (w *world) start(p *process, seeds []*process) error {
	path, err := w.writeSettings(p, seeds)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.folder, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("target/lovageroad", "serve", p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LOVAGEROAD_BOOT=" + path}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		close(done)
	}(p.command, p.done)
	w.record.add("%s %s started at %s%d", p.role, p.node, w.network, p.machine)
	return nil
}

// kill ends the process by SIGKILL.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	_ = p.command.Process.Kill()
	<-p.done
}

// startGates starts gates on the machines with the given numbers, which are the seeds of each
// other.
func (w *world) startGates(machines ...int) error {
	var gates []*process
	for _, m := range machines {
		gates = append(gates, &process{role: "gate", node: fmt.Sprintf("front-%d", m), machine: m})
	}
	for _, g := range gates {
		if class := w.class(g.machine); class.limited {
			if err := startLink(w.address(g.machine+linkOffset, storePort), w.address(storeMachine, storePort), class.megabits); err != nil {
				return err
			}
		}
		if err := w.start(g, gates); err != nil {
			return err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gates = append(w.gates, gates...)
	return nil
}

// startAgents starts agents on the machines with the given numbers.
func (w *world) startAgents(machines ...int) error {
	for _, m := range machines {
		p := &process{role: "agent", node: fmt.Sprintf("side-%d", m), machine: m}
		if err := w.start(p, w.gates); err != nil {
			return err
		}
		w.agents = append(w.agents, p)
	}
	return nil
}

// startRunners starts a runner beside each agent, each in a rack of its own.
func (w *world) startRunners() error {
	for i, a := range w.agents {
		r, err := startRunner(w.record, runnerName(i), pool, fmt.Sprintf("r1-%d", i+1), w.address(a.machine, appPort), w.address(a.machine, controlPort), time.Now())
		if err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	return nil
}

// removeGate kills a gate and forgets it.
func (w *world) removeGate(g *process) {
	w.mu.Lock()
	for i := range w.gates {
		if w.gates[i] == g {
			w.gates = append(w.gates[:i:i], w.gates[i+1:]...)
			break
		}
	}
	w.mu.Unlock()
	g.kill()
	w.record.add("gate %s killed", g.node)
}

func (w *world) liveGates() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*process{}, w.gates...)
}
