package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 10 * time.Second
	stopGrace         = 400 * time.Millisecond
	saveInterval      = time.Second
	maxHoldWait       = 2 * time.Second
	endedRows         = 500
	workTick          = 10 * time.Millisecond
)

type (
	// spec is the text that the clients of the cases submit.
	spec struct {
		Millis int `json:"ms"`

		// Note makes the spec longer.
		Note string `json:"note,omitempty"`
	}

	run struct {
		task      string
		number    uint64
		spec      spec
		saves     bool
		began     time.Time
		worked    time.Duration
		saved     string
		savedWork time.Duration
		stopping  time.Time
	}

	end struct {
		n     uint64
		task  string
		run   uint64
		how   string
		saved string
	}

	// capacity is what a runner has.
	capacity struct {
		CPU int64 `json:"cpu"`
		Mem int64 `json:"mem_mb"`
		GPU int64 `json:"gpu"`
	}

	// runner is a stand-in of a runner, as PROTOCOL.md describes it. It doesn't guard
	// its capacity.
	runner struct {
		world             *world
		name, id, address string
		agent             string
		zone, rack        string
		capacity          capacity

		// down says that the runner is suspended or has ended.
		down atomic.Bool

		mu      sync.Mutex
		born    int64
		steady  time.Duration
		ticked  time.Time
		frozen  bool
		thawed  chan struct{}
		stopped bool
		lease   int64
		token   uint64
		seq     uint64
		runs    map[string]*run
		highest map[string]uint64
		ended   []end
		lastEnd uint64
		acked   uint64
		added   chan struct{}
		server  *http.Server
	}

	// order is the body of a call of the system.
	order struct {
		Task  string  `json:"task"`
		Run   uint64  `json:"run"`
		Spec  string  `json:"spec"`
		Until *int64  `json:"until_ms"`
		Token uint64  `json:"fencing_token"`
		Saved string  `json:"last_checkpoint"`
		Acked *uint64 `json:"ack_cursor"`
		Wait  int64   `json:"wait_ms"`
	}
)

func newRunner(w *world, name, address, agent, zone, rack string, c capacity) *runner {
	r := &runner{
		world: w, name: name, id: "i-" + name, address: address, agent: agent, zone: zone, rack: rack, capacity: c,
		born: time.Now().UnixMilli(), ticked: time.Now(), thawed: make(chan struct{}), runs: make(map[string]*run),
		highest: make(map[string]uint64), added: make(chan struct{}),
	}
	close(r.thawed)
	return r
}

// start serves the system's calls and sends heartbeats until the world ends.
func (r *runner) start() error {
	server, err := serve(r.address, r)
	if err != nil {
		return err
	}
	r.server = server
	go r.work()
	go r.beat()
	return nil
}

// freeze suspends the runner with its machine, or wakes it. Its steady clock doesn't
// count the time.
func (r *runner) freeze(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	if r.frozen == on {
		return
	}
	r.frozen = on
	r.down.Store(on)
	if on {
		r.thawed = make(chan struct{})
	} else {
		close(r.thawed)
	}
}

// awake waits until the runner isn't suspended, and returns with the lock held.
func (r *runner) awake() {
	for {
		r.mu.Lock()
		if !r.frozen {
			r.advance()
			return
		}
		thawed := r.thawed
		r.mu.Unlock()
		<-thawed
	}
}

// advance moves the steady clock on, lets the runs work and ends those whose time has
// come. The caller holds the lock.
func (r *runner) advance() {
	now := time.Now()
	passed := now.Sub(r.ticked)
	r.ticked = now
	if r.frozen {
		return
	}
	r.steady += passed
	lapsed := r.clock() > r.lease
	for _, x := range r.runs {
		x.worked += passed
		if x.saves {
			for x.worked-x.savedWork >= saveInterval {
				x.savedWork += saveInterval
				x.saved = fmt.Sprintf("%016x", x.savedWork.Milliseconds())
			}
		}
		switch {
		case lapsed:
			r.finish(x, "lapsed")
		case !x.stopping.IsZero() && now.Sub(x.stopping) >= stopGrace/2:
			r.finish(x, "stopped")
		case x.worked >= time.Duration(x.spec.Millis)*time.Millisecond && x.stopping.IsZero():
			r.finish(x, "done")
		}
	}
}

// finish ends a run. The caller holds the lock.
func (r *runner) finish(x *run, how string) {
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.lastEnd++
	r.ended = append(r.ended, end{r.lastEnd, x.task, x.number, how, x.saved})
	r.world.ended(r, x, how)
	close(r.added)
	r.added = make(chan struct{})
}

// clock returns the time on the runner's steady clock in milliseconds.
func (r *runner) clock() int64 { return 1000 + r.steady.Milliseconds() }

func (r *runner) work() {
	for range time.Tick(workTick) {
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return
		}
		r.advance()
		r.mu.Unlock()
	}
}

// beat sends a heartbeat to the process on the runner's machine.
func (r *runner) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		r.awake()
		if r.stopped {
			r.mu.Unlock()
			return
		}
		r.seq++
		body := map[string]any{
			"backend": poolName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": r.capacity, "labels": []string{"a", r.rack}, "clock_ms": r.clock(),
			"seq": r.seq, "born": r.born,
		}
		r.mu.Unlock()
		data, _ := json.Marshal(body)
		request, err := http.NewRequest(http.MethodPut, "http://"+r.agent+"/instances/"+r.id, bytes.NewReader(data))
		acknowledged := false
		if err == nil {
			request.Header.Set("Content-Type", "application/json")
			if response, err := client.Do(request); err == nil {
				acknowledged = response.StatusCode/100 == 2
				response.Body.Close()
			}
		}
		if acknowledged {
			time.Sleep(heartbeatInterval)
		} else {
			time.Sleep(heartbeatInterval / 10)
		}
	}
}

// ServeHTTP carries out a call of the system.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.awake()
	if target := request.Header.Get("Lovageroad-Target-Instance"); target != "" && target != r.id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := r.carryOut(request.URL.Path, o)
	wait := min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait)
	lists := status == http.StatusOK && request.URL.Path == "/hold"
	added, pending := r.added, len(r.ended) > 0
	r.mu.Unlock()
	if lists && wait > 0 && !pending {
		select {
		case <-added:
		case <-time.After(wait):
		case <-request.Context().Done():
		}
	}
	r.awake()
	body := map[string]any{"clock_ms": r.clock(), "born": r.born}
	if reason != "" {
		body["reason"] = reason
	}
	if lists {
		body["running"], body["ended"] = r.lists()
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// lists returns what runs and the ends that are not acknowledged. The caller holds the
// lock.
func (r *runner) lists() (running, ended [][]any) {
	running, ended = [][]any{}, [][]any{}
	for _, x := range r.runs {
		percent := min(int(x.worked.Milliseconds()*100/int64(max(x.spec.Millis, 1))), 99)
		running = append(running, []any{x.task, x.number, x.saved, percent, 100})
	}
	for i, e := range r.ended {
		if i == endedRows {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
		r.world.listed(r, e)
	}
	return running, ended
}

// carryOut carries out a call. The caller holds the lock.
func (r *runner) carryOut(path string, o order) (int, string) {
	if o.Token < r.token {
		return http.StatusConflict, "fence"
	}
	r.token = o.Token
	switch path {
	case "/run-start":
		return r.startRun(o)
	case "/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if x := r.runs[o.Task]; x != nil && x.number <= o.Run && x.stopping.IsZero() {
			x.stopping = time.Now()
		}
		return http.StatusOK, ""
	case "/hold":
		r.extend(o.Until)
		if o.Acked != nil {
			r.acked = max(r.acked, *o.Acked)
			for len(r.ended) > 0 && r.ended[0].n <= r.acked {
				r.world.noted(r, r.ended[0])
				r.ended = r.ended[1:]
			}
		}
		return http.StatusOK, ""
	}
	return http.StatusNotFound, ""
}

// extend extends the lease of all that runs.
func (r *runner) extend(until *int64) {
	if until != nil {
		r.lease = max(r.lease, min(*until, r.clock()+holdMax.Milliseconds()))
	}
}

func (r *runner) startRun(o order) (int, string) {
	if o.Until == nil || *o.Until <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(o.Until)
	if x := r.runs[o.Task]; x != nil && x.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= r.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	job, _, _ := strings.Cut(o.Task, ".")
	x := &run{task: o.Task, number: o.Run, saved: o.Saved, began: time.Now(), saves: r.world.saves(job)}
	if json.Unmarshal([]byte(o.Spec), &x.spec) != nil {
		return http.StatusBadRequest, ""
	}
	if o.Saved != "" {
		var ms int64
		if _, err := fmt.Sscanf(o.Saved, "%x", &ms); err == nil {
			x.savedWork = time.Duration(ms) * time.Millisecond
			x.worked = x.savedWork
		}
	}
	r.runs[o.Task] = x
	r.world.started(r, x)
	return http.StatusOK, ""
}

// stop ends the runner.
func (r *runner) stop() {
	r.mu.Lock()
	r.stopped = true
	r.down.Store(true)
	r.mu.Unlock()
	_ = r.server.Close()
}
