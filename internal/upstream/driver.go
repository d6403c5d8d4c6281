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
	// DefaultRetry is the time between two tries at a runner that does not
	// answer.
	DefaultRetry = 500 * time.Millisecond

	// DefaultGiveUp is the time after which a task whose runner does not answer
	// is stopped.
	DefaultGiveUp = 30 * time.Second

	// CallTimeout bounds a call to the runner, beyond the wait or the grace that
	// it asks for.
	CallTimeout = 2 * time.Second

	// LeaseMargin is the time beyond its lease after which a task is taken for
	// stopped though its runner has not said so. It covers the delay of the last
	// call.
	LeaseMargin = 5 * time.Second

	// UsageInterval is the time between two reports of usage.
	UsageInterval = time.Second
)

type (
	// Driver carries the effects of an agent out on its runner.
	Driver struct {
		client   *Client
		objects  table.Objects
		post     func(ctx context.Context, event machine.Event) bool
		ctx      context.Context
		mu       sync.Mutex
		followed map[wire.TaskID]*followed
	}

	// followed is a task whose result is waited for.
	followed struct {
		cancel context.CancelFunc
		lease  time.Duration
		slow   bool
	}
)

// NewDriver returns a driver that hands events to the agent by post. It ends
// with the context.
func NewDriver(ctx context.Context, client *Client, objects table.Objects, post func(ctx context.Context, event machine.Event) bool) *Driver {
	return &Driver{
		client:   client,
		objects:  objects,
		post:     post,
		ctx:      ctx,
		followed: make(map[wire.TaskID]*followed),
	}
}

// Tasks returns the tasks that the runner has, as soon as it answers. It returns
// an error if the context ends first.
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

// Watch reports the worker's usage to the agent until the context ends.
func (d *Driver) Watch() {
	var last Usage
	for d.ctx.Err() == nil {
		usage, err := d.usage()
		if err == nil && usage != last {
			last = usage
			d.post(d.ctx, agent.Usage{Draw: usage.Draw, Leaving: usage.Leaving})
		}
		pause(d.ctx, UsageInterval)
	}
}

// Handle carries an effect out. It does not block.
func (d *Driver) Handle(effect machine.Effect) {
	switch e := effect.(type) {
	case agent.RunTask:
		d.follow(e.Task, e.Peers, func(ctx context.Context) (Report, error) {
			return d.client.Start(ctx, Name(e.Task), taskOf(e))
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

// follow starts a task, unless start is nil, and waits for its result.
func (d *Driver) follow(id wire.TaskID, peers []machine.Node, start func(context.Context) (Report, error)) {
	ctx, cancel := context.WithCancel(d.ctx)
	f := &followed{cancel: cancel, lease: leaseOf(peers)}
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

// await returns the event of a task's end, or nil if the context ends first.
func (d *Driver) await(ctx context.Context, id wire.TaskID, lease time.Duration, start func(context.Context) (Report, error)) machine.Event {
	answered := time.Now()
	for {
		report, err := d.poll(ctx, id, lease, start)
		switch {
		case ctx.Err() != nil:
			return nil
		case refused(err):
			return agent.TaskEnded{Task: id, Result: wire.Result{Failed: true, Reason: err.Error()}}
		case err != nil && time.Since(answered) > DefaultGiveUp:
			d.force(id, lease)
			return agent.TaskEnded{Task: id, Result: wire.Result{Failed: true, Reason: err.Error()}}
		case err != nil:
			pause(ctx, DefaultRetry)
			continue
		}
		answered, start = time.Now(), nil
		switch report.State {
		case StateRunning:
		case StateStopped:
			return agent.TaskStopped{Task: id, Reason: report.Reason}
		default:
			return agent.TaskEnded{Task: id, Result: d.result(ctx, Name(id), report)}
		}
	}
}

// poll makes one call that renews the task's lease.
func (d *Driver) poll(ctx context.Context, id wire.TaskID, lease time.Duration, start func(context.Context) (Report, error)) (Report, error) {
	if start != nil {
		ctx, cancel := context.WithTimeout(ctx, CallTimeout)
		defer cancel()
		return start(ctx)
	}
	wait := lease / pollsPerLease
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	return d.client.Wait(ctx, Name(id), wait)
}

// result keeps an answer: a small one inline, a large one in the object store,
// or inline if the object store is away.
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

func runnerTasks(list []Task) []agent.RunnerTask {
	tasks := make([]agent.RunnerTask, 0, len(list))
	for _, t := range list {
		tasks = append(tasks, agent.RunnerTask{
			Task: wire.TaskID{Job: t.Job, Attempt: t.Attempt, Rank: t.Rank, Epoch: t.Epoch},
			Share: floor.Share{
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

// refused reports whether the runner answered that it will not.
func refused(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
