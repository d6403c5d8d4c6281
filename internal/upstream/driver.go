package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultRetry is the time between two attempts to call a runner that does not
	// answer.
	DefaultRetry = 500 * time.Millisecond

	// DefaultRunnerTimeout is the time since the runner's last answer after which a task
	// is stopped and reported as failed.
	DefaultRunnerTimeout = 30 * time.Second

	// CallTimeout bounds a call to the runner, in addition to the wait or the grace
	// that the call asks for.
	CallTimeout = 2 * time.Second

	// LeaseMargin is the time after the end of its lease at which a task counts as
	// stopped although its runner has not confirmed that. It covers the delay of the
	// last call that renewed the lease.
	LeaseMargin = 5 * time.Second

	// UsageInterval is the time between two requests for the worker's usage.
	UsageInterval = time.Second
)

type (
	// Driver executes the effects of an agent's state machine by calls to its runner,
	// and posts the outcomes as events to the agent. It is safe for concurrent use.
	Driver struct {
		client   *Client
		objects  table.Objects
		post     func(ctx context.Context, event machine.Event) bool
		ctx      context.Context
		mu       sync.Mutex
		followed map[wire.TaskID]*followedTask
	}

	// followedTask is a task for whose result the driver waits. slow says whether the
	// agent last asked to slow the task down.
	followedTask struct {
		cancel context.CancelFunc
		lease  time.Duration
		slow   bool
	}
)

// NewDriver returns a driver that passes events to the agent by post. Its goroutines
// end with the context.
func NewDriver(ctx context.Context, client *Client, objects table.Objects, post func(ctx context.Context, event machine.Event) bool) *Driver {
	return &Driver{
		client:   client,
		objects:  objects,
		post:     post,
		ctx:      ctx,
		followed: make(map[wire.TaskID]*followedTask),
	}
}

// Tasks returns the tasks that the runner holds. It retries until the runner answers,
// and returns an error if the context ends first.
func (d *Driver) Tasks(ctx context.Context) ([]agent.RunnerTask, error) {
	for {
		list, err := d.list(ctx)
		if err == nil {
			return runnerTasks(list), nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		pause(ctx, DefaultRetry)
	}
}

// ReportUsage posts an agent.RunnerStatus to the agent at each change of the worker's
// usage, until the context ends.
func (d *Driver) ReportUsage() {
	var last Usage
	for d.ctx.Err() == nil {
		usage, err := d.usage()
		if err == nil && usage != last {
			last = usage
			d.post(d.ctx, agent.RunnerStatus{PowerDraw: usage.PowerDraw, Draining: usage.Draining})
		}
		pause(d.ctx, UsageInterval)
	}
}

// Handle executes an effect in the background. It does not block.
func (d *Driver) Handle(effect machine.Effect) {
	switch e := effect.(type) {
	case agent.RunTask:
		d.follow(e.Task, e.Peers, func(ctx context.Context) (Report, error) {
			return d.client.Start(ctx, TaskName(e.Task), taskOf(e))
		})
	case agent.FollowTask:
		d.follow(e.Task, e.Peers, nil)
	case agent.StopTask:
		go d.stop(e)
	case agent.ThrottleTask:
		go d.throttle(e)
	case agent.ForgetTask:
		go d.forget(e.Task)
	}
}

// follow starts a task, unless start is nil, and posts its outcome when it ends. It
// does not block.
func (d *Driver) follow(id wire.TaskID, peers []machine.Node, start func(context.Context) (Report, error)) {
	ctx, cancel := context.WithCancel(d.ctx)
	f := &followedTask{cancel: cancel, lease: leaseOf(peers)}
	d.mu.Lock()
	d.followed[id] = f
	d.mu.Unlock()
	go func() {
		defer cancel()
		event := d.await(ctx, id, f.lease, start)
		d.mu.Lock()
		delete(d.followed, id)
		d.mu.Unlock()
		if event != nil {
			d.post(d.ctx, event)
		}
	}()
}

// await polls a task until it ends, and returns the event to post, or nil if the
// context ends first.
func (d *Driver) await(ctx context.Context, id wire.TaskID, lease time.Duration, start func(context.Context) (Report, error)) machine.Event {
	lastAnswer := time.Now()
	for {
		report, err := d.poll(ctx, id, lease, start)
		switch {
		case ctx.Err() != nil:
			return nil
		case refused(err):
			return agent.TaskEnded{Task: id, Result: wire.Result{Failed: true, Reason: err.Error()}}
		case err != nil && time.Since(lastAnswer) > DefaultRunnerTimeout:
			d.force(id, lease)
			return agent.TaskEnded{Task: id, Result: wire.Result{Failed: true, Reason: err.Error()}}
		case err != nil:
			pause(ctx, DefaultRetry)
			continue
		}
		lastAnswer, start = time.Now(), nil
		switch report.State {
		case StateRunning:
		case StateStopped:
			return agent.TaskStopped{Task: id, Reason: report.Reason}
		default:
			return agent.TaskEnded{Task: id, Result: d.result(ctx, TaskName(id), report)}
		}
	}
}

// poll makes one call that renews the task's lease: start if it is not nil, else a
// wait for the result.
func (d *Driver) poll(ctx context.Context, id wire.TaskID, lease time.Duration, start func(context.Context) (Report, error)) (Report, error) {
	if start != nil {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		return start(ctx)
	}
	wait := lease / pollsPerLease
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	return d.client.Wait(ctx, TaskName(id), wait)
}

// result returns the result of a task that ended. A small answer is kept inline, a
// large one is put into the object store, with retries until the context ends; then
// it stays inline.
func (d *Driver) result(ctx context.Context, name string, report Report) wire.Result {
	if report.State != StateDone {
		return wire.Result{Failed: true, Reason: report.Reason}
	}
	answer := job.NewAnswer(report.Answer)
	if answer.Length <= job.MaxInline {
		return wire.Result{Answer: answer}
	}
	object := "answer/" + name + "/" + string(answer.Digest)
	for ctx.Err() == nil {
		if err := d.objects.Put(ctx, object, report.Answer); err == nil {
			answer.Data, answer.Object = nil, object
			break
		}
		pause(ctx, DefaultRetry)
	}
	return wire.Result{Answer: answer}
}

func (d *Driver) list(ctx context.Context) ([]Task, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return d.client.List(ctx)
}

func (d *Driver) usage() (Usage, error) {
	ctx, cancel := context.WithTimeout(d.ctx, CallTimeout)
	defer cancel()
	return d.client.Usage(ctx)
}

// taskOf returns the task to send to the runner.
func taskOf(e agent.RunTask) Task {
	return Task{
		Job:          e.Task.Job,
		Attempt:      e.Task.Attempt,
		Epoch:        e.Task.Epoch,
		Rank:         e.Task.Rank,
		Peers:        e.Peers,
		Class:        string(e.Spec.Class),
		Worker:       e.Share.Worker,
		Accelerators: e.Share.Accelerators,
		Cores:        e.Share.Cores,
		Memory:       e.Share.Memory,
		Input:        e.Spec.Input,
		Object:       e.Spec.Object,
		Lease:        leaseOf(e.Peers).Seconds(),
	}
}

// runnerTasks converts a runner's list of tasks for the agent.
func runnerTasks(list []Task) []agent.RunnerTask {
	tasks := make([]agent.RunnerTask, 0, len(list))
	for _, t := range list {
		tasks = append(tasks, agent.RunnerTask{
			Task: wire.TaskID{Job: t.Job, Attempt: t.Attempt, Rank: t.Rank, Epoch: t.Epoch},
			Share: floor.Allocation{
				Worker:       t.Worker,
				Accelerators: t.Accelerators,
				Cores:        t.Cores,
				Memory:       t.Memory,
			},
			Peers: t.Peers,
		})
	}
	return tasks
}

// refused reports whether the runner answered with a status below 500, so that a retry
// is of no use.
func refused(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

// pause waits for a duration or until the context ends.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
