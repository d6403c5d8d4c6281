package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond

	// leaseCheckInterval is how often the runner checks whether its lease has expired and
	// which runs have done their work.
	leaseCheckInterval = 10 * time.Millisecond

	maxHold    = 10 * time.Second
	maxWait    = 2 * time.Second
	stopTime   = 50 * time.Millisecond
	listedEnds = 500
)

type (
	// runner is a stand-in of a runner. A work item runs for the number of milliseconds
	// with which its spec begins.
	runner struct {
		id, rack, control string
		pool              string
		record            *record
		born              int64
		began             time.Time
		listener          net.Listener
		server            *http.Server
		stop              chan struct{}

		mu       sync.Mutex
		seq      uint64
		token    uint64
		until    int64
		running  map[string]*run
		closed   map[string]uint64
		ended    []ended
		lastEnd  uint64
		newEnd   chan struct{}
		noAccept bool
	}

	run struct {
		number   uint64
		started  time.Time
		duration time.Duration

		// stopAt is when the run ends because it was told to stop, or the zero time.
		stopAt time.Time
	}

	ended struct {
		number uint64
		task   string
		run    uint64
		how    string
	}

	call struct {
		Task      string `json:"task"`
		Run       uint64 `json:"run"`
		Spec      string `json:"spec"`
		Until     int64  `json:"until_ms"`
		Token     uint64 `json:"fencing_token"`
		AckCursor uint64 `json:"ack_cursor"`
		Wait      int64  `json:"wait_ms"`
	}
)

// startRunner starts a runner that serves on the address app and sends its heartbeats to
// the address control. born is its start time in Unix milliseconds by its clock.
func startRunner(rec *record, id, pool, rack, app, control string, born time.Time) (*runner, error) {
	listener, err := net.Listen("tcp4", app)
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, pool: pool, rack: rack, control: control, record: rec, born: born.UnixMilli(), began: time.Now(), listener: listener,
		stop: make(chan struct{}), running: make(map[string]*run), closed: make(map[string]uint64), newEnd: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.halt))
	mux.HandleFunc("POST /hold", r.handle(r.hold))
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	go r.sendHeartbeats()
	go r.work()
	rec.add("runner %s of %s up at %s, rack %s, born %d", id, pool, app, rack, r.born)
	return r, nil
}

// crash ends the runner and all that runs on it.
func (r *runner) crash() {
	close(r.stop)
	_ = r.server.Close()
	r.record.add("runner %s crashed", r.id)
}

func (r *runner) clock() int64 { return time.Since(r.began).Milliseconds() }

func (r *runner) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	for {
		r.mu.Lock()
		r.seq++
		seq := r.seq
		r.mu.Unlock()
		body, err := json.Marshal(map[string]any{
			"backend": r.pool, "address": r.listener.Addr().String(), "zone": "cesis", "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "capacity": map[string]int{"cpu": 128000, "mem_mb": 524288, "gpu": 8},
			"labels": []string{"a", r.rack}, "clock_ms": r.clock(), "seq": seq, "born": r.born,
		})
		if err != nil {
			return
		}
		request, err := http.NewRequest(http.MethodPut, "http://"+r.control+"/instances/"+r.id, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		outcome := "no answer"
		if response, err := client.Do(request); err == nil {
			outcome = strconv.Itoa(response.StatusCode)
			_ = response.Body.Close()
		}
		if seq <= 2 || outcome != "200" {
			r.record.add("heartbeat %d of runner %s: %s", seq, r.id, outcome)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// work ends runs that are done or stopped, and all runs when the lease expires.
func (r *runner) work() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(leaseCheckInterval):
		}
		r.mu.Lock()
		now := time.Now()
		for task, t := range r.running {
			switch {
			case r.clock() > r.until:
				r.end(task, t, "lapsed")
			case !t.stopAt.IsZero() && now.After(t.stopAt):
				r.end(task, t, "stopped")
			case now.Sub(t.started) >= t.duration:
				r.end(task, t, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds the lock.
func (r *runner) end(task string, t *run, how string) {
	delete(r.running, task)
	r.closed[task] = max(r.closed[task], t.number)
	r.lastEnd++
	r.ended = append(r.ended, ended{number: r.lastEnd, task: task, run: t.number, how: how})
	close(r.newEnd)
	r.newEnd = make(chan struct{})
	r.record.add("end %s run %d on %s: %s", task, t.number, r.id, how)
}

// handle wraps a method that answers a call to this incarnation under a fencing token that is
// not below the highest one. The method holds the lock.
func (r *runner) handle(act func(call) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var c call
		if err := json.NewDecoder(request.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if request.Header.Get("Lovageroad-Target-Instance") != r.id {
			answerJSON(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": r.clock(), "born": r.born})
			return
		}
		r.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if c.Token >= r.token {
			r.token = c.Token
			status, body = act(c)
		}
		r.mu.Unlock()
		if status == http.StatusOK && c.Wait > 0 {
			r.awaitEnd(time.Duration(c.Wait) * time.Millisecond)
		}
		if strings.HasSuffix(request.URL.Path, "/hold") && status == http.StatusOK {
			r.mu.Lock()
			body = r.lists()
			r.mu.Unlock()
		}
		body["clock_ms"], body["born"] = r.clock(), r.born
		answerJSON(w, status, body)
	}
}

func (r *runner) awaitEnd(wait time.Duration) {
	r.mu.Lock()
	newEnd, pending := r.newEnd, len(r.ended) > 0
	r.mu.Unlock()
	if pending {
		return
	}
	select {
	case <-newEnd:
	case <-r.stop:
	case <-time.After(min(wait, maxWait)):
	}
}

func (r *runner) extend(until int64) {
	r.until = max(r.until, min(until, r.clock()+maxHold.Milliseconds()))
}

func (r *runner) start(c call) (int, map[string]any) {
	r.extend(c.Until)
	if t := r.running[c.Task]; t != nil && t.number == c.Run {
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= r.closed[c.Task] || r.running[c.Task] != nil {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if c.Until <= r.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	digits, _, _ := strings.Cut(c.Spec, " ")
	milliseconds, err := strconv.Atoi(digits)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	r.running[c.Task] = &run{number: c.Run, started: time.Now(), duration: time.Duration(milliseconds) * time.Millisecond}
	r.record.started(c.Task, r.pool)
	r.record.add("start %s run %d on %s, token %d", c.Task, c.Run, r.id, c.Token)
	return http.StatusOK, map[string]any{}
}

func (r *runner) halt(c call) (int, map[string]any) {
	r.closed[c.Task] = max(r.closed[c.Task], c.Run)
	if t := r.running[c.Task]; t != nil && t.number <= c.Run && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) hold(c call) (int, map[string]any) {
	if c.Until > 0 {
		r.extend(c.Until)
	}
	for len(r.ended) > 0 && r.ended[0].number <= c.AckCursor {
		r.ended = r.ended[1:]
	}
	return http.StatusOK, map[string]any{}
}

// lists returns what runs and what has ended. The caller holds the lock.
func (r *runner) lists() map[string]any {
	running, ends := [][]any{}, [][]any{}
	for task, t := range r.running {
		percent := int64(0)
		if t.duration > 0 {
			percent = min(int64(100*time.Since(t.started)/t.duration), 100)
		}
		running = append(running, []any{task, t.number, "", percent, 0})
	}
	for _, e := range r.ended[:min(len(r.ended), listedEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "ended": ends}
}

// runnerName returns the id of the n-th runner.
func runnerName(n int) string { return fmt.Sprintf("i-%08x", 0x7f3a9100+n) }
