package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holdMax is the longest lease of a runner (hold_max_ms).
const holdMax = 10 * time.Second

type run struct {
	task   string
	number uint64
	began  time.Time
	timer  *time.Timer
	spec   string
}

// runner is a stand-in of a runner under one id. It can be ended and started again.
type runner struct {
	id, address, control, pool, rack string
	cpu, memory, gpu                 int
	rec                              *recorder

	mu       sync.Mutex
	up       bool
	born     int64
	bootedAt time.Time
	seq      uint64
	token    uint64
	until    time.Time
	running  map[string]*run
	oldest   map[string]uint64 // the highest run stopped or ended here, by task
	ended    [][]any
	count    uint64
	changed  chan struct{}
	server   *http.Server
	cancel   context.CancelFunc
	lapse    *time.Timer

	// delayStart returns for how long a start is left unanswered before it is carried out, 0
	// for none.
	delayStart func(task string, run uint64) time.Duration

	// hang says that all calls hang and do nothing.
	hang bool
}

// start begins a new life of the runner under the same id.
func (r *runner) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.up, r.born, r.bootedAt, r.seq, r.token, r.count = true, time.Now().UnixMilli(), time.Now(), 0, 0, 0
	r.until = time.Time{}
	r.running, r.oldest, r.ended = make(map[string]*run), make(map[string]uint64), [][]any{}
	r.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.onStart)
	mux.HandleFunc("POST /run-stop", r.onStop)
	mux.HandleFunc("POST /hold", r.onHold)
	mux.HandleFunc("POST /pace", r.onPace)
	r.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	server := r.server
	go func() { _ = server.Serve(l) }()
	go r.beat(ctx)
	r.rec.write("runner up", r.id, "born", r.born)
	return nil
}

// crash ends the runner with all that it runs.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	r.cancel()
	_ = r.server.Close()
	for _, x := range r.running {
		x.timer.Stop()
		r.rec.runEnded(r.id, x.task, x.number, "crash")
	}
	r.running = make(map[string]*run)
	r.rec.write("runner down", r.id)
}

func (r *runner) clock() int64 { return time.Since(r.bootedAt).Milliseconds() }

// beat sends a ping at once and then each 1.5 s.
func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.seq++
		body, _ := json.Marshal(map[string]any{
			"backend": r.pool, "address": r.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.memory, "gpu": r.gpu}, "labels": []string{"a", r.rack},
			"clock_ms": r.clock(), "seq": r.seq, "born": r.born,
		})
		r.mu.Unlock()
		wait := 1500 * time.Millisecond
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		request, _ := http.NewRequestWithContext(callCtx, http.MethodPut, "http://"+r.control+"/instances/"+r.id, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			wait = 200 * time.Millisecond
		} else {
			_ = response.Body.Close()
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (r *runner) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = r.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

type startCall struct {
	Task  string `json:"task"`
	Run   uint64 `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Token uint64 `json:"fencing_token"`
}

// setHang makes all calls hang, or no more.
func (r *runner) setHang(hang bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hang = hang
}

// meant reports whether a call names this runner and doesn't hang, and answers it if not.
func (r *runner) meant(w http.ResponseWriter, q *http.Request) bool {
	r.mu.Lock()
	hang := r.hang
	r.mu.Unlock()
	if hang {
		_, _ = io.Copy(io.Discard, q.Body)
		<-q.Context().Done()
		return false
	}
	if name := q.Header.Get("Lovageroad-Target-Instance"); name != "" && name != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (r *runner) onStart(w http.ResponseWriter, q *http.Request) {
	var c startCall
	if !r.meant(w, q) {
		return
	}
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.delayStart != nil {
		if delay := r.delayStart(c.Task, c.Run); delay > 0 {
			r.rec.write("start left unanswered", r.id, c.Task, c.Run, "carried out in", delay)
			time.AfterFunc(delay, func() { r.carryOut(c) })
			<-q.Context().Done()
			return
		}
	}
	reason := r.begin(c)
	if reason != "" {
		r.reply(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	r.reply(w, http.StatusOK, map[string]any{})
}

// carryOut carries out a start that was left unanswered, if the runner is up by then.
func (r *runner) carryOut(c startCall) {
	r.mu.Lock()
	up, born := r.up, r.born
	r.mu.Unlock()
	if !up {
		r.rec.write("late start lost, the runner is down", r.id, c.Task, c.Run)
		return
	}
	reason := r.begin(c)
	r.rec.write("late start carried out", r.id, c.Task, c.Run, "born", born, "outcome", reason)
}

// begin starts a run and returns why not, or "" if it runs.
func (r *runner) begin(c startCall) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Token < r.token {
		return "fence"
	}
	r.token = c.Token
	r.extend(c.Until)
	if x := r.running[c.Task]; x != nil && x.number == c.Run {
		return ""
	}
	if c.Run <= r.oldest[c.Task] || r.running[c.Task] != nil {
		return "old"
	}
	if !time.Now().Before(r.until) {
		return "late"
	}
	x := &run{task: c.Task, number: c.Run, began: time.Now(), spec: c.Spec}
	took, how := specOf(c.Spec)
	x.timer = time.AfterFunc(took, func() { r.end(x, how) })
	r.running[c.Task] = x
	r.rec.runBegan(r.id, c.Task, c.Run)
	return ""
}

// specOf returns how long a run takes and how it ends: "ms=2000", "ms=100 failed".
func specOf(spec string) (time.Duration, string) {
	took, how := time.Second, "done"
	for _, f := range strings.Fields(spec) {
		if v, ok := strings.CutPrefix(f, "ms="); ok {
			n, _ := strconv.Atoi(v)
			took = time.Duration(n) * time.Millisecond
		}
		if f == "failed" {
			how = f
		}
	}
	return took, how
}

// extend extends the lease to a time on the runner's clock, at most holdMax ahead.
func (r *runner) extend(until int64) {
	end := r.bootedAt.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if !end.After(r.until) {
		return
	}
	r.until = end
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(time.Until(end), r.expire)
}

func (r *runner) expire() {
	r.mu.Lock()
	var all []*run
	if !time.Now().Before(r.until) {
		for _, x := range r.running {
			all = append(all, x)
		}
	}
	r.mu.Unlock()
	for _, x := range all {
		r.end(x, "lapsed")
	}
}

func (r *runner) end(x *run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[x.task] != x {
		return
	}
	x.timer.Stop()
	delete(r.running, x.task)
	r.oldest[x.task] = max(r.oldest[x.task], x.number)
	r.count++
	r.ended = append(r.ended, []any{r.count, x.task, x.number, how, ""})
	r.rec.runEnded(r.id, x.task, x.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) onStop(w http.ResponseWriter, q *http.Request) {
	var c startCall
	if !r.meant(w, q) || json.NewDecoder(q.Body).Decode(&c) != nil {
		return
	}
	r.mu.Lock()
	if c.Token < r.token {
		r.mu.Unlock()
		r.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.token = c.Token
	r.oldest[c.Task] = max(r.oldest[c.Task], c.Run)
	x := r.running[c.Task]
	r.mu.Unlock()
	if x != nil && x.number <= c.Run {
		time.AfterFunc(100*time.Millisecond, func() { r.end(x, "stopped") })
	}
	r.reply(w, http.StatusOK, map[string]any{})
}

func (r *runner) onPace(w http.ResponseWriter, q *http.Request) {
	if !r.meant(w, q) {
		return
	}
	r.reply(w, http.StatusOK, map[string]any{})
}

func (r *runner) onHold(w http.ResponseWriter, q *http.Request) {
	var c struct {
		Until int64  `json:"until_ms"`
		Token uint64 `json:"fencing_token"`
		Ack   uint64 `json:"ack_cursor"`
		Wait  int64  `json:"wait_ms"`
	}
	if !r.meant(w, q) || json.NewDecoder(q.Body).Decode(&c) != nil {
		return
	}
	r.mu.Lock()
	if c.Token < r.token {
		r.mu.Unlock()
		r.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.token = c.Token
	if c.Until > 0 {
		r.extend(c.Until)
	}
	for len(r.ended) > 0 && r.ended[0][0].(uint64) <= c.Ack {
		r.rec.takenNote(r.id, r.ended[0][1].(string), r.ended[0][2].(uint64), r.ended[0][3].(string))
		r.ended = r.ended[1:]
	}
	changed, none := r.changed, len(r.ended) == 0
	r.mu.Unlock()
	if none && c.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(c.Wait, 2000)) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
	}
	r.mu.Lock()
	running := [][]any{}
	for _, x := range r.running {
		running = append(running, []any{x.task, x.number, "", 1, 0})
	}
	ended := append([][]any{}, r.ended[:min(len(r.ended), 500)]...)
	born := r.born
	r.mu.Unlock()
	r.reply(w, http.StatusOK, map[string]any{"running": running, "ended": ended, "born": born})
}

func (r *runner) String() string { return fmt.Sprintf("%s at %s", r.id, r.address) }
