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
	share  = floor.Allocation{Worker: "w-1", Accelerators: 5, Cores: 2, Memory: 64}
)

// link is an http.RoundTripper that passes requests to a runner's handler without
// sockets. Over a cut link no request arrives. Over a link that loses responses a
// request arrives, unless it is a DELETE, but there is no response.
type link struct {
	mu             sync.Mutex
	handler        http.Handler
	cut            bool
	losesResponses bool
}

func (l *link) set(cut, losesResponses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.losesResponses = cut, losesResponses
}

func (l *link) get() (cut, losesResponses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut, l.losesResponses
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut, losesResponses := l.get(); cut || (losesResponses && r.Method == http.MethodDelete) {
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
	if _, losesResponses := l.get(); losesResponses {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return w.Result(), nil
}

// fixture is a driver with a fake runner. The driver's events arrive in a channel.
type fixture struct {
	fake   *upstream.FakeRunner
	link   *link
	driver *upstream.Driver
	events chan machine.Event
	cancel context.CancelFunc
}

func newFixture() *fixture {
	r := &fixture{fake: upstream.NewFakeRunner(), events: make(chan machine.Event, 64)}
	r.link = &link{handler: r.fake.Handler()}
	r.restart()
	return r
}

// restart replaces the driver by one of the agent's next incarnation, beside the same
// runner.
func (r *fixture) restart() {
	if r.cancel != nil {
		r.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	client := upstream.NewClient("http://runner", &http.Client{Transport: r.link})
	r.driver = upstream.NewDriver(ctx, client, platform.NewMemory(), func(_ context.Context, event machine.Event) bool {
		r.events <- event
		return true
	})
}

func (r *fixture) start(input string, gang []machine.Node) {
	r.driver.Handle(agent.RunTask{Task: taskID, Share: share, Spec: job.Spec{Input: []byte(input)}, Peers: gang})
	synctest.Wait()
}

// next returns the next event and the time until it came.
func (r *fixture) next() (machine.Event, time.Duration) {
	start := time.Now()
	return <-r.events, time.Since(start)
}

// runTest runs a test with a new fixture in virtual time.
func runTest(t *testing.T, test func(t *testing.T, r *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newFixture()
		test(t, r)
		r.cancel()
	})
}

// TestRun checks that a task is started once and its answer delivered although the
// runner's responses are lost for a while.
func TestRun(t *testing.T) {
	runTest(t, func(t *testing.T, r *fixture) {
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

// TestStopBounds checks how long a stop takes: a runner that answers stops the task at
// once; at one that does not, the task counts as stopped when its lease has expired,
// and then it does not run any more.
func TestStopBounds(t *testing.T) {
	const grace = 30 * time.Second
	tests := []struct {
		name            string
		cut             bool
		losesResponses  bool
		peers           []machine.Node
		grace           time.Duration
		from, to        time.Duration
		wantCheckpoints int
	}{
		{"answers", false, false, peers, 0, 0, time.Second, 0},
		{"makes a checkpoint", false, false, peers, grace, 0, time.Second, 1},
		{"silent", true, false, peers, 0, upstream.GangLease, upstream.GangLease + upstream.LeaseMargin, 0},
		{"silent alone", true, false, nil, 0, upstream.DefaultLease, upstream.DefaultLease + upstream.LeaseMargin, 0},
		{"responses lost", false, true, peers, 0, upstream.GangLease, upstream.GangLease + upstream.LeaseMargin, 0},
		{
			"silent with grace", true, false, peers, grace, grace,
			grace + upstream.CallTimeout + upstream.GangLease + upstream.LeaseMargin, 0,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, func(t *testing.T, r *fixture) {
				r.start("sleep 10m", test.peers)
				r.link.set(test.cut, test.losesResponses)
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
				if r.fake.Checkpoints() != test.wantCheckpoints {
					t.Errorf("%d checkpoints", r.fake.Checkpoints())
				}
			})
		})
	}
}

// TestUnresponsiveRunner checks that a task whose runner has not answered for
// DefaultRunnerTimeout is reported as failed, and only once it can't run any more.
func TestUnresponsiveRunner(t *testing.T) {
	const bound = 2*upstream.DefaultRunnerTimeout + upstream.DefaultLease + upstream.LeaseMargin
	runTest(t, func(t *testing.T, r *fixture) {
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

// TestStopBeforeStart checks that a task never starts if it was stopped before its
// start reached the runner.
func TestStopBeforeStart(t *testing.T) {
	runTest(t, func(t *testing.T, r *fixture) {
		r.driver.Handle(agent.StopTask{Task: taskID})
		r.next()
		r.start("sleep 10m", peers)
		if event, _ := r.next(); !reflect.DeepEqual(event, agent.TaskStopped{Task: taskID}) {
			t.Errorf("got %+v", event)
		}
		if r.fake.Runs("j") != 0 {
			t.Error("the task was started")
		}
	})
}

// TestAgentRestart checks that an agent's next incarnation finds its predecessor's
// task and delivers its result, and that a task whose agent is away for longer than
// the lease is stopped.
func TestAgentRestart(t *testing.T) {
	runTest(t, func(t *testing.T, r *fixture) {
		r.start("sleep 20s", peers)
		r.restart()
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
			t.Errorf("found %+v, %v after the task was forgotten", tasks, err)
		}
		if r.fake.Runs("j") != 1 {
			t.Errorf("%d starts", r.fake.Runs("j"))
		}
	})
	runTest(t, func(t *testing.T, r *fixture) {
		r.start("sleep 10m", peers)
		r.restart()
		time.Sleep(upstream.GangLease + time.Second)
		r.driver.Handle(agent.FollowTask{Task: taskID, Peers: peers})
		if event, _ := r.next(); event.(agent.TaskStopped).Task != taskID {
			t.Errorf("got %+v", event)
		}
	})
}

// TestTasksWait checks that Tasks waits for a runner that does not answer yet.
func TestTasksWait(t *testing.T) {
	runTest(t, func(t *testing.T, r *fixture) {
		r.link.set(true, false)
		time.AfterFunc(time.Minute, func() { r.link.set(false, false) })
		start := time.Now()
		if tasks, err := r.driver.Tasks(t.Context()); err != nil || len(tasks) > 0 || time.Since(start) < time.Minute {
			t.Errorf("found %+v, %v after %v", tasks, err, time.Since(start))
		}
	})
}

// TestThrottle checks that a throttle is retried until the runner answers again, and
// that the last one applies.
func TestThrottle(t *testing.T) {
	runTest(t, func(t *testing.T, r *fixture) {
		r.start("sleep 10m", nil)
		r.link.set(true, false)
		r.driver.Handle(agent.ThrottleTask{Task: taskID})
		synctest.Wait()
		r.driver.Handle(agent.ThrottleTask{Task: taskID, Slow: true})
		time.Sleep(10 * time.Second)
		r.link.set(false, false)
		time.Sleep(10 * time.Second)
		if !r.fake.Throttled(upstream.TaskName(taskID)) {
			t.Error("the task is not slowed down")
		}
	})
}

// TestUsage checks that each change of usage is reported, and nothing else.
func TestUsage(t *testing.T) {
	runTest(t, func(t *testing.T, r *fixture) {
		go r.driver.ReportUsage()
		time.Sleep(5 * time.Second)
		r.fake.SetUsage(upstream.Usage{PowerDraw: 700})
		event, took := r.next()
		if event != (agent.RunnerStatus{PowerDraw: 700}) || took > 2*upstream.UsageInterval {
			t.Errorf("got %+v after %v", event, took)
		}
		time.Sleep(time.Minute)
		r.fake.SetUsage(upstream.Usage{PowerDraw: 700, Draining: true})
		if event, _ := r.next(); event != (agent.RunnerStatus{PowerDraw: 700, Draining: true}) {
			t.Errorf("got %+v", event)
		}
	})
}
