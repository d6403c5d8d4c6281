package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/upstream"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

var (
	taskID = wire.TaskID{Job: "j", Attempt: 2, Epoch: 3}
	peers  = []machine.Node{"10.0.0.1:7100", "10.0.0.2:7100"}
	share  = floor.Share{Worker: "w-1", Accelerators: 5, Cores: 2, Memory: 64}
)

// link carries requests to a runner without sockets. A request over a cut link
// reaches nobody; one over a deaf link reaches the runner unless it is a DELETE,
// and its answer is lost.
type link struct {
	mu      sync.Mutex
	handler http.Handler
	cut     bool
	deaf    bool
}

func (l *link) set(cut, deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.deaf = cut, deaf
}

func (l *link) get() (cut, deaf bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.deaf
}

// RoundTrip serves a request.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut, deaf := l.get(); cut || (deaf && r.Method == http.MethodDelete) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	served := make(chan struct{})
	go func() {
		l.handler.ServeHTTP(w, r)
		close(served)
	}()
	select {
	case <-served:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	if _, deaf := l.get(); deaf {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}

// rig is a driver and a fake runner in virtual time.
type rig struct {
	fake   *upstream.Fake
	link   *link
	driver *upstream.Driver
	events chan machine.Event
	stop   context.CancelFunc
}

func newRig() *rig {
	r := &rig{fake: upstream.NewFake(), events: make(chan machine.Event, 64)}
	r.link = &link{handler: r.fake.Handler()}
	r.life()
	return r
}

// life begins another life of the agent's process at the same runner.
func (r *rig) life() {
	if r.stop != nil {
		r.stop()
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	client := upstream.NewClient("http://runner", &http.Client{Transport: r.link})
	r.driver = upstream.NewDriver(ctx, client, platform.NewMemory(), func(_ context.Context, event machine.Event) bool {
		r.events <- event
		return true
	})
}

func (r *rig) start(input string, with []machine.Node) {
	r.driver.Handle(agent.RunTask{Task: taskID, Share: share, Spec: job.Spec{Input: []byte(input)}, Peers: with})
	synctest.Wait()
}

// next returns the next event and the time that it took.
func (r *rig) next() (machine.Event, time.Duration) {
	begun := time.Now()
	return <-r.events, time.Since(begun)
}

func bubble(t *testing.T, test func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig()
		test(t, r)
		r.stop()
	})
}

// TestRun runs a task to its answer, though the runner's answers are lost for a
// while. It is started once.
func TestRun(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig) {
		r.link.set(false, true)
		r.start("sleep 40s", peers)
		time.Sleep(5 * time.Second)
		r.link.set(false, false)
		event, _ := r.next()
		if e, ok := event.(agent.TaskEnded); !ok || e.Result.Failed || string(e.Result.Answer.Data) != "sleep 40s" {
			t.Errorf("got %+v", event)
		}
		if runs := r.fake.Runs("j"); runs != 1 {
			t.Errorf("%d starts", runs)
		}
	})
}

// TestStopBounds stops tasks. A runner that answers stops at once, and one that
// does not is given up when its lease has passed: the task does not run then.
func TestStopBounds(t *testing.T) {
	const grace = 30 * time.Second
	tests := []struct {
		name      string
		cut       bool
		deaf      bool
		peers     []machine.Node
		grace     time.Duration
		from, to  time.Duration
		snapshots int
	}{
		{"answers", false, false, peers, 0, 0, time.Second, 0},
		{"makes a checkpoint", false, false, peers, grace, 0, time.Second, 1},
		{"silent", true, false, peers, 0, upstream.GangLease, upstream.GangLease + upstream.LeaseMargin, 0},
		{"silent alone", true, false, nil, 0, upstream.DefaultLease, upstream.DefaultLease + upstream.LeaseMargin, 0},
		{"deaf", false, true, peers, 0, upstream.GangLease, upstream.GangLease + upstream.LeaseMargin, 0},
		{
			"silent with grace", true, false, peers, grace, grace,
			grace + upstream.CallTimeout + upstream.GangLease + upstream.LeaseMargin, 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, r *rig) {
				r.start("sleep 10m", test.peers)
				r.link.set(test.cut, test.deaf)
				r.driver.Handle(agent.StopTask{Task: taskID, Checkpoint: test.grace > 0, Grace: test.grace})
				event, took := r.next()
				if e, ok := event.(agent.TaskStopped); !ok || e.Task != taskID {
					t.Errorf("got %+v", event)
				}
				if took < test.from || took > test.to {
					t.Errorf("stopped after %v", took)
				}
				if running := r.fake.Running(); len(running) > 0 {
					t.Errorf("%v still run", running)
				}
				if r.fake.Checkpoints() != test.snapshots {
					t.Errorf("%d checkpoints", r.fake.Checkpoints())
				}
			})
		})
	}
}

// TestSilentRunner fails a task whose runner does not answer for too long, once
// it cannot run any more.
func TestSilentRunner(t *testing.T) {
	const bound = 2*upstream.DefaultGiveUp + upstream.DefaultLease + upstream.LeaseMargin
	bubble(t, func(t *testing.T, r *rig) {
		r.start("sleep 10m", nil)
		r.link.set(true, false)
		event, took := r.next()
		if e, ok := event.(agent.TaskEnded); !ok || !e.Result.Failed || took < upstream.DefaultLease || took > bound {
			t.Errorf("got %+v after %v", event, took)
		}
		if running := r.fake.Running(); len(running) > 0 {
			t.Errorf("%v still run", running)
		}
	})
}

// TestStopBeforeStart stops a task whose start has not reached the runner yet.
// It never starts.
func TestStopBeforeStart(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig) {
		r.driver.Handle(agent.StopTask{Task: taskID})
		r.next()
		r.start("sleep 10m", peers)
		if event, _ := r.next(); !reflect.DeepEqual(event, agent.TaskStopped{Task: taskID}) {
			t.Errorf("got %+v", event)
		}
		if r.fake.Runs("j") != 0 {
			t.Error("it was started")
		}
	})
}

// TestNextLife finds a task of a former life and delivers its result. A task
// whose agent stays away is stopped by its lease.
func TestNextLife(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig) {
		r.start("sleep 20s", peers)
		r.life()
		time.Sleep(upstream.GangLease / 2)
		tasks, err := r.driver.Tasks(t.Context())
		want := []agent.RunnerTask{{Task: taskID, Share: share, Peers: peers}}
		if err != nil || !reflect.DeepEqual(tasks, want) {
			t.Fatalf("found %+v, %v", tasks, err)
		}
		r.driver.Handle(agent.FollowTask{Task: taskID, Peers: peers})
		if event, _ := r.next(); event.(agent.TaskEnded).Result.Failed {
			t.Errorf("got %+v", event)
		}
		r.driver.Handle(agent.ForgetTask{Task: taskID})
		synctest.Wait()
		if tasks, err := r.driver.Tasks(t.Context()); err != nil || len(tasks) > 0 {
			t.Errorf("found %+v, %v after it was forgotten", tasks, err)
		}
		if r.fake.Runs("j") != 1 {
			t.Errorf("%d starts", r.fake.Runs("j"))
		}
	})
	bubble(t, func(t *testing.T, r *rig) {
		r.start("sleep 10m", peers)
		r.life()
		time.Sleep(upstream.GangLease + time.Second)
		r.driver.Handle(agent.FollowTask{Task: taskID, Peers: peers})
		if event, _ := r.next(); event.(agent.TaskStopped).Task != taskID {
			t.Errorf("got %+v", event)
		}
	})
}

// TestTasksWait waits for a runner that does not answer yet.
func TestTasksWait(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig) {
		r.link.set(true, false)
		time.AfterFunc(time.Minute, func() { r.link.set(false, false) })
		begun := time.Now()
		if tasks, err := r.driver.Tasks(t.Context()); err != nil || len(tasks) > 0 || time.Since(begun) < time.Minute {
			t.Errorf("found %+v, %v after %v", tasks, err, time.Since(begun))
		}
	})
}

// TestThrottle slows a task down once the runner answers again. The last order
// stands.
func TestThrottle(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig) {
		r.start("sleep 10m", nil)
		r.link.set(true, false)
		r.driver.Handle(agent.ThrottleTask{Task: taskID})
		synctest.Wait()
		r.driver.Handle(agent.ThrottleTask{Task: taskID, Slow: true})
		time.Sleep(10 * time.Second)
		r.link.set(false, false)
		time.Sleep(10 * time.Second)
		if !r.fake.Throttled(upstream.Name(taskID)) {
			t.Error("the task is not slowed down")
		}
	})
}

// TestUsage reports changes of usage, and only these.
func TestUsage(t *testing.T) {
	bubble(t, func(t *testing.T, r *rig) {
		go r.driver.Watch()
		time.Sleep(5 * time.Second)
		r.fake.SetUsage(upstream.Usage{Draw: 700})
		event, took := r.next()
		if event != (agent.Usage{Draw: 700}) || took > 2*upstream.UsageInterval {
			t.Errorf("got %+v after %v", event, took)
		}
		time.Sleep(time.Minute)
		r.fake.SetUsage(upstream.Usage{Draw: 700, Leaving: true})
		if event, _ := r.next(); event != (agent.Usage{Draw: 700, Leaving: true}) {
			t.Errorf("got %+v", event)
		}
	})
}
