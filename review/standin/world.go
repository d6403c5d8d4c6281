package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	peerPort  = 7100
	frontPort = 8521
	readyPort = 8523
	ctrlPort  = 8526
	storePort = 8524
	appPort   = 8527

	hostName = "nony24.example"
	prefix   = "/lohu930/"
	poolName = "huvo11a"
	apiKey   = "key-3c1f90d27a"

	callTime = 3 * time.Second
	bootTime = 15 * time.Second
)

type (
	// world is a small deployment on loopback addresses: the system's processes and the
	// stand-ins around them.
	world struct {
		log     *record
		dir     string
		subnet  string
		store   *store
		gates   []*process
		agents  []*process
		runners []*runner
		links   [][]*link
		client  *http.Client
		servers []*http.Server
		binary  string

		mu       sync.Mutex
		saving   map[string]bool
		items    map[string]int
		needs    map[string]capacity
		done     map[string]int
		outcomes map[string]int
		active   map[string]map[*runner]uint64
		starts   int
		twice    []string
		endings  map[string]*ending
		answers  map[string]int
		quietRun bool
	}

	// ending is an end that a runner has listed.
	ending struct {
		how      string
		listedAt time.Time
		notedAt  time.Time
	}
)

// newWorld starts the store, the gates and, with a runner each, the agents.
func newWorld(log *record, dir, binary string, gates, agents int, c capacity) (*world, error) {
	w := &world{
		log: log, dir: dir, binary: binary, saving: make(map[string]bool), items: make(map[string]int), needs: make(map[string]capacity), done: make(map[string]int), outcomes: make(map[string]int),
		active: make(map[string]map[*runner]uint64), endings: make(map[string]*ending), answers: make(map[string]int),
		client: &http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	w.subnet = fmt.Sprintf("127.%d.%d.", 101+rand.IntN(100), 101+rand.IntN(100))
	w.store = newStore(log)
	server, err := serve(w.at(10, storePort), w.store)
	if err != nil {
		return w, err
	}
	w.servers = append(w.servers, server)
	w.configure(1)
	seeds := []string{}
	for g := range gates {
		seeds = append(seeds, w.at(11+g, ctrlPort))
	}
	for g := range gates {
		p, err := newProcess(dir, binary, fmt.Sprintf("front-%d", g+1), "gate", w.settingsOf("front", g, 11+g, peerPort, storePort, seeds))
		if err != nil {
			return w, err
		}
		w.gates = append(w.gates, p)
	}
	for i := range agents {
		port := peerPort + 1 + i
		var links []*link
		for g := range gates {
			l, err := newLink(w.at(11+g, port), w.at(11+g, peerPort), port)
			if err != nil {
				return w, err
			}
			links = append(links, l)
		}
		l, err := newLink(w.at(10, storePort+1+i), w.at(10, storePort), port)
		if err != nil {
			return w, err
		}
		w.links = append(w.links, append(links, l))
		p, err := newProcess(dir, binary, fmt.Sprintf("side-%d", i+1), "agent", w.settingsOf("side", i, 41+i, port, storePort+1+i, seeds))
		if err != nil {
			return w, err
		}
		w.agents = append(w.agents, p)
		r := newRunner(w, fmt.Sprintf("r%d", i+1), w.at(41+i, appPort), w.at(41+i, ctrlPort), "cesis", fmt.Sprintf("r1-%d", i/3+1), c)
		if err := r.start(); err != nil {
			return w, err
		}
		w.runners = append(w.runners, r)
	}
	return w, w.awaitReady()
}

func (w *world) at(host, port int) string { return fmt.Sprintf("%s%d:%d", w.subnet, host, port) }

// settingsOf returns the settings of a process, with the bounds of a small site.
func (w *world) settingsOf(class string, n, host, port, store int, seeds []string) map[string]any {
	listen := map[string]string{"control": w.at(host, ctrlPort)}
	s := map[string]any{
		"node": fmt.Sprintf("%s-%d", class, n+1), "role": class, "machine_class": class, "serves": []string{class},
		"ip": fmt.Sprintf("%s%d", w.subnet, host), "zone": "cesis", "region": "vidzeme",
		"zones": map[string]string{"cesis": "vidzeme"}, "listen": listen, "port_range": []int{port, port + 15}, "seeds": seeds,
		"bootstrap": true, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 1.0, "cores": 1, "memory_mb": 512, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "local", "entry": "vip", "heartbeat_ms": 1500, "orders": "invoke",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "platform"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "recovery_s": 12,
			"hold_max_ms": 10000, "stop_grace_ms": 400, "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
			"finish_s": 14, "status_s": 120, "checkpoint_s": 1, "restore_ms": 250, "lease_ttl_ms": 3000,
		},
		"platform": map[string]any{
			"address": w.at(10, store), "form": "table", "writes_per_s": 800, "reads_per_s": 2000, "txn_ms": 3.0,
			"part_writes_per_s": 300, "row_bytes": rowBytes, "cross_shard": true, "history_s": 20,
		},
	}
	if class == "front" {
		listen["front"], listen["ready"] = w.at(host, frontPort), w.at(host, readyPort)
	} else {
		s["app"], s["backend"] = w.at(host, appPort), poolName
	}
	return s
}

// configure writes a manifest.
func (w *world) configure(version int) {
	w.store.operate("config", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "lohu930", "host": hostName, "path_prefix": prefix, "backend": poolName, "timeout_ms": 3000,
			"priority": 1, "max_attempts": 4, "stretch": 3.0, "target_duration_ms": 3000,
		}},
		"services": []any{map[string]any{"name": poolName, "admission_check": false}},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 0}}},
		"limits":   map[string]int{"max_body_bytes": 262144, "max_header_bytes": 16384},
	})
}

// awaitReady waits until all gates are ready and the leader has heard from the agents.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(bootTime)
	for g := range w.gates {
		for {
			response, err := w.client.Get("http://" + w.at(11+g, readyPort) + "/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New("a gate isn't ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for {
		if status, _ := w.call(0, http.MethodGet, "", nil); status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return errors.New("no leader")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	w.log.add("world", "%d gates and %d agents are ready", len(w.gates), len(w.agents))
	return nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	var all sync.WaitGroup
	for _, p := range append(append([]*process{}, w.gates...), w.agents...) {
		all.Go(func() { p.end(0) })
	}
	all.Wait()
	for _, r := range w.runners {
		r.stop()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}

// call sends a request of a client to a gate. The status is 0 if there is no answer.
func (w *world) call(g int, method, id string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+w.at(11+g, frontPort)+prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Lovageroad-Deadline-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := w.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit hands a job in, as a client does: at most five attempts, at one gate after the
// other. It returns whether the job was accepted, and the answers.
func (w *world) submit(id string, job map[string]any) (bool, []int) {
	var answers []int
	for attempt := range 5 {
		status, _ := w.call(attempt%len(w.gates), http.MethodPost, id, job)
		answers = append(answers, status)
		w.count("POST", status)
		if status/100 == 2 {
			w.log.add("client", "POST %s: %v, accepted", id, answers)
			return true, answers
		}
		if status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(time.Second)
	}
	w.log.add("client", "POST %s: %v, not accepted", id, answers)
	return false, answers
}

// state asks for the state of a job, "" if there is no answer with one.
func (w *world) state(g int, id string) (string, int) {
	status, body := w.call(g, http.MethodGet, id, nil)
	w.count("GET", status)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &answer)
	}
	return answer.State, status
}

func (w *world) count(method string, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers[fmt.Sprintf("%s %d", method, status)]++
}

// job returns the body of a submission with one step.
func (w *world) job(id string, s spec, count int, cpu, mem, gpu int64, saves bool, estimate int) map[string]any {
	w.mu.Lock()
	w.saving[id], w.items[id], w.needs[id] = saves, count, capacity{CPU: cpu, Mem: mem, GPU: gpu}
	w.mu.Unlock()
	text, _ := json.Marshal(s)
	step := map[string]any{"count": count, "cpu": cpu, "mem_mb": mem, "est_duration_ms": estimate}
	if gpu > 0 {
		step["gpu"] = gpu
	}
	if saves {
		step["saves_progress"] = true
	}
	return map[string]any{"spec": string(text), "steps": []any{step}}
}

// saves reports whether the work items of a job save their progress.
func (w *world) saves(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.saving[job]
}

// started records the start of a run, and whether another run of the work item is at
// work on a runner that is up.
func (w *world) started(r *runner, x *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	for other, number := range w.active[x.task] {
		if other != r && !other.down.Load() && !r.down.Load() {
			w.twice = append(w.twice, fmt.Sprintf("%s: run %d starts on %s while run %d is at work on %s", x.task, x.number, r.name, number, other.name))
			w.log.add("check", "TWICE %s", w.twice[len(w.twice)-1])
		}
	}
	if w.active[x.task] == nil {
		w.active[x.task] = make(map[*runner]uint64)
	}
	w.active[x.task][r] = x.number
	if !w.quietRun {
		w.log.add(r.name, "run %d of %s starts, saved %q, lease until %d, clock %d", x.number, x.task, x.saved, r.lease, r.clock())
	}
}

func (w *world) ended(r *runner, x *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active[x.task], r)
	w.outcomes[how]++
	if how == "done" {
		id, _, _ := strings.Cut(x.task, ".")
		w.done[id]++
	}
	if !w.quietRun {
		w.log.add(r.name, "run %d of %s ends: %s, lease until %d, clock %d", x.number, x.task, how, r.lease, r.clock())
	}
}

// hasRun reports whether a work item of a job has ended as done.
func (w *world) hasRun(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[job] > 0
}

// doneOf returns how many runs of a job have ended as done, itemsOf how many work items
// it has.
func (w *world) doneOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done[job]
}

func (w *world) itemsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.items[job]
}

// howMany returns how many runs have ended in a way.
func (w *world) howMany(how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outcomes[how]
}

// startCount returns the number of runs that have started.
func (w *world) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// running returns how many work items of a job are at work.
func (w *world) running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, on := range w.active {
		if strings.HasPrefix(task, job+".") && len(on) > 0 {
			n++
		}
	}
	return n
}

// idleRoom reports whether, on the runners that are up, there is room for a work item of
// the job twice over and under half of the capacity is in use.
func (w *world) idleRoom(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	used := make(map[*runner]capacity)
	for task, on := range w.active {
		id, _, _ := strings.Cut(task, ".")
		for r := range on {
			u, n := used[r], w.needs[id]
			used[r] = capacity{u.CPU + n.CPU, u.Mem + n.Mem, u.GPU + n.GPU}
		}
	}
	need, fits := w.needs[job], int64(0)
	var all, inUse capacity
	for _, r := range w.runners {
		if r.down.Load() {
			continue
		}
		c, u := r.capacity, used[r]
		all = capacity{all.CPU + c.CPU, all.Mem + c.Mem, all.GPU + c.GPU}
		inUse = capacity{inUse.CPU + u.CPU, inUse.Mem + u.Mem, inUse.GPU + u.GPU}
		n := min((c.CPU-u.CPU)/need.CPU, (c.Mem-u.Mem)/need.Mem)
		if need.GPU > 0 {
			n = min(n, (c.GPU-u.GPU)/need.GPU)
		}
		fits += max(n, 0)
	}
	return fits >= 2 && 2*inUse.CPU < all.CPU && 2*inUse.Mem < all.Mem && 2*inUse.GPU < all.GPU
}

// runningOn returns how many work items are at work on a runner.
func (w *world) runningOn(r *runner) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, on := range w.active {
		if on[r] != 0 {
			n++
		}
	}
	return n
}

func (w *world) listed(r *runner, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprintf("%s/%d", r.name, e.n)
	if w.endings[key] == nil {
		w.endings[key] = &ending{how: e.how, listedAt: time.Now()}
	}
}

func (w *world) noted(r *runner, e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.endings[fmt.Sprintf("%s/%d", r.name, e.n)]; known != nil && known.notedAt.IsZero() {
		known.notedAt = time.Now()
	}
}

// unnoted returns how many ends were listed longer ago than a time, and how many of
// these have not been taken note of.
func (w *world) unnoted(age time.Duration) (listed, open int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endings {
		if time.Since(e.listedAt) < age {
			continue
		}
		listed++
		if e.notedAt.IsZero() {
			open++
		}
	}
	return listed, open
}

// serve serves a handler on an address.
func serve(address string, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}
