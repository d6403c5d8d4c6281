package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// Fake is a runner whose tasks sleep and then answer with their input. An
	// input of "sleep 2s" sleeps for two seconds, "fail" fails, and
	// "answer 100000" answers with so many bytes.
	Fake struct {
		mu    sync.Mutex
		tasks map[string]*fakeTask
		runs  map[job.ID]int
	}

	fakeTask struct {
		report Report
		ended  chan struct{}
		timer  *time.Timer
	}
)

// NewFake returns a runner without tasks.
func NewFake() *Fake {
	return &Fake{tasks: make(map[string]*fakeTask), runs: make(map[job.ID]int)}
}

// Runs returns how often tasks of rank zero were started for a job.
func (f *Fake) Runs(id job.ID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// Handler serves the runner's interface.
func (f *Fake) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/v1/tasks/{id}", f.start)
	r.Get("/v1/tasks/{id}", f.wait)
	r.Delete("/v1/tasks/{id}", f.stop)
	return r
}

func (f *Fake) start(w http.ResponseWriter, r *http.Request) {
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
	writeReport(w, t.report)
}

func (f *Fake) begin(task Task) *fakeTask {
	if task.Rank == 0 {
		f.runs[task.Job]++
	}
	t := &fakeTask{report: Report{State: StateRunning}, ended: make(chan struct{})}
	duration, report := fakeOutcome(task)
	t.timer = time.AfterFunc(duration, func() { f.end(t, report) })
	return t
}

func (f *Fake) end(t *fakeTask, report Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.report.State != StateRunning {
		return
	}
	t.report = report
	close(t.ended)
}

func (f *Fake) wait(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	t, ok := f.tasks[chi.URLParam(r, "id")]
	f.mu.Unlock()
	if !ok {
		http.Error(w, "no such task", http.StatusNotFound)
		return
	}
	timer := time.NewTimer(PollWait)
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
	writeReport(w, report)
}

func (f *Fake) stop(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	t, ok := f.tasks[chi.URLParam(r, "id")]
	f.mu.Unlock()
	if !ok {
		http.Error(w, "no such task", http.StatusNotFound)
		return
	}
	f.end(t, Report{State: StateStopped, Reason: "stopped"})
	f.mu.Lock()
	report := t.report
	f.mu.Unlock()
	writeReport(w, report)
}

// fakeOutcome returns how long a task runs and what it ends with.
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
		return 0, Report{State: StateFailed, Reason: "the input says so"}
	case "answer":
		var length int
		if _, err := fmt.Sscan(argument, &length); err != nil || length < 0 || length > MaxAnswer {
			return 0, Report{State: StateFailed, Reason: "no length"}
		}
		done.Answer = []byte(strings.Repeat("x", length))
	}
	return 0, done
}

func writeReport(w http.ResponseWriter, report Report) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		return
	}
}
