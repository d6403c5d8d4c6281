package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// FakeRunner is a runner for tests and the command dev whose tasks do no work. A task
	// answers with its own input at once. With the input "sleep 2s" it does so after
	// two seconds, with "fail" it fails, and with "answer 100000" it answers with
	// that many bytes.
	FakeRunner struct {
		mu          sync.Mutex
		tasks       map[string]*fakeTask
		runs        map[job.ID]int
		usage       Usage
		checkpoints int
	}

	// fakeTask is a task of a FakeRunner. The channel ended is closed when it ends.
	fakeTask struct {
		task       Task
		report     Report
		ended      chan struct{}
		timer      *time.Timer
		lease      time.Duration
		leaseTimer *time.Timer
		deleted    bool
		throttled  bool
	}
)

// NewFakeRunner returns a runner without tasks.
func NewFakeRunner() *FakeRunner {
	return &FakeRunner{tasks: make(map[string]*fakeTask), runs: make(map[job.ID]int)}
}

// Runs returns how often the task of rank zero was started for a job.
func (f *FakeRunner) Runs(id job.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// Running returns the sorted names of the running tasks.
func (f *FakeRunner) Running() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name, t := range f.tasks {
		if t.report.State == StateRunning {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Throttled reports whether a task is slowed down.
func (f *FakeRunner) Throttled(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.tasks[name]
	return ok && t.throttled
}

// Checkpoints returns the number of checkpoints made.
func (f *FakeRunner) Checkpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.checkpoints
}

// SetUsage sets the usage that the runner reports for its worker.
func (f *FakeRunner) SetUsage(usage Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usage = usage
}

// Handler returns the HTTP handler of the runner, with the paths in the package
// comment.
func (f *FakeRunner) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/tasks", f.list)
	r.Put("/v1/tasks/{id}", f.start)
	r.Get("/v1/tasks/{id}", f.wait)
	r.Delete("/v1/tasks/{id}", f.stop)
	r.Put("/v1/tasks/{id}/throttle", f.setThrottle)
	r.Get("/v1/usage", f.reportUsage)
	return r
}

func (f *FakeRunner) start(w http.ResponseWriter, r *http.Request) {
	var task Task
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxAnswer)).Decode(&task); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := chi.URLParam(r, "id")
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.tasks[name]
	if !ok {
		t = f.begin(task)
		f.tasks[name] = t
	}
	f.renew(t)
	writeJSON(w, t.report)
}

// begin starts a task. The caller holds the lock.
func (f *FakeRunner) begin(task Task) *fakeTask {
	if task.Rank == 0 {
		f.runs[task.Job]++
	}
	t := &fakeTask{
		task:   task,
		report: Report{State: StateRunning},
		ended:  make(chan struct{}),
		lease:  time.Duration(task.Lease * float64(time.Second)),
	}
	duration, report := fakeOutcome(task)
	t.timer = time.AfterFunc(duration, func() { f.end(t, report) })
	t.leaseTimer = time.AfterFunc(t.lease, func() { f.end(t, leaseExpired()) })
	return t
}

// renew renews the lease of a task that still runs. The caller holds the lock.
func (f *FakeRunner) renew(t *fakeTask) {
	if t.report.State == StateRunning {
		t.leaseTimer.Reset(t.lease)
	}
}

func (f *FakeRunner) end(t *fakeTask, report Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.close(report)
}

// close ends a task with a report, unless it has ended. The caller holds the lock.
func (t *fakeTask) close(report Report) {
	if t.report.State != StateRunning {
		return
	}
	t.report = report
	t.timer.Stop()
	t.leaseTimer.Stop()
	close(t.ended)
}

func (f *FakeRunner) wait(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	t, ok := f.tasks[chi.URLParam(r, "id")]
	if ok {
		f.renew(t)
	}
	f.mu.Unlock()
	if !ok {
		http.Error(w, "no such task", http.StatusNotFound)
		return
	}
	timer := time.NewTimer(min(querySeconds(r, "wait"), MaxWait))
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	f.mu.Lock()
	report := t.report
	f.mu.Unlock()
	writeJSON(w, report)
}

// stop stops a task at once. For a task that was never started it records a stopped
// one, so that a late start has no effect.
func (f *FakeRunner) stop(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := chi.URLParam(r, "id")
	t, ok := f.tasks[name]
	if !ok {
		t = &fakeTask{report: Report{State: StateStopped}}
		f.tasks[name] = t
	}
	if r.URL.Query().Get("checkpoint") == "true" && t.report.State == StateRunning {
		f.checkpoints++
	}
	t.deleted = true
	t.close(Report{State: StateStopped, Reason: "stopped"})
	writeJSON(w, t.report)
}

func (f *FakeRunner) list(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks := []Task{}
	for _, t := range f.tasks {
		if !t.deleted {
			task := t.task
			task.Input = nil
			tasks = append(tasks, task)
		}
	}
	writeJSON(w, tasks)
}

func (f *FakeRunner) setThrottle(w http.ResponseWriter, r *http.Request) {
	var body Throttle
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxAnswer)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.tasks[chi.URLParam(r, "id")]
	if !ok {
		http.Error(w, "no such task", http.StatusNotFound)
		return
	}
	t.throttled = body.Slow
	writeJSON(w, body)
}

func (f *FakeRunner) reportUsage(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	writeJSON(w, f.usage)
}

// fakeOutcome returns how long a task runs and its final report.
func fakeOutcome(task Task) (time.Duration, Report) {
	verb, argument, _ := strings.Cut(string(task.Input), " ")
	done := Report{State: StateDone, Answer: task.Input}
	switch verb {
	case "sleep":
		duration, err := time.ParseDuration(argument)
		if err != nil {
			return 0, Report{State: StateFailed, Reason: err.Error()}
		}
		return duration, done
	case "fail":
		return 0, Report{State: StateFailed, Reason: "the input asks for a failure"}
	case "answer":
		var length int
		if _, err := fmt.Sscan(argument, &length); err != nil || length < 0 || length > MaxAnswer {
			return 0, Report{State: StateFailed, Reason: "the answer length in the input is missing or out of range"}
		}
		done.Answer = []byte(strings.Repeat("x", length))
	}
	return 0, done
}

func leaseExpired() Report {
	return Report{State: StateStopped, Reason: "the task's lease has expired"}
}

// querySeconds returns a query parameter in seconds as a duration, or 0 if it is
// missing or invalid.
func querySeconds(r *http.Request, key string) time.Duration {
	value, err := strconv.ParseFloat(r.URL.Query().Get(key), 64)
	if err != nil || value < 0 {
		return 0
	}
	return time.Duration(value * float64(time.Second))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
