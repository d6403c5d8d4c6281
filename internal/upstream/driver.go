package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
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
	// has failed.
	DefaultGiveUp = 30 * time.Second
)

// Driver carries the effects of an agent out on its runner.
type Driver struct {
	client  *Client
	objects table.Objects
	post    func(ctx context.Context, event machine.Event) bool
	ctx     context.Context
	mu      sync.Mutex
	cancels map[wire.TaskID]context.CancelFunc
}

// NewDriver returns a driver that hands events to the agent by post. It ends
// with the context.
func NewDriver(ctx context.Context, client *Client, objects table.Objects, post func(ctx context.Context, event machine.Event) bool) *Driver {
	return &Driver{
		client:  client,
		objects: objects,
		post:    post,
		ctx:     ctx,
		cancels: make(map[wire.TaskID]context.CancelFunc),
	}
}

// Handle carries an effect out. It does not block.
func (d *Driver) Handle(effect machine.Effect) {
	switch e := effect.(type) {
	case agent.RunTask:
		ctx, cancel := context.WithCancel(d.ctx)
		d.mu.Lock()
		d.cancels[e.Task] = cancel
		d.mu.Unlock()
		go d.run(ctx, e)
	case agent.StopTask:
		go d.stop(e)
	}
}

func (d *Driver) run(ctx context.Context, e agent.RunTask) {
	result, err := d.follow(ctx, e)
	d.mu.Lock()
	delete(d.cancels, e.Task)
	d.mu.Unlock()
	if err != nil {
		return
	}
	d.post(d.ctx, agent.TaskEnded{Task: e.Task, Result: result})
}

// follow starts a task and waits for its result. It returns an error if the task
// is to be stopped.
func (d *Driver) follow(ctx context.Context, e agent.RunTask) (wire.Result, error) {
	name := Name(e.Task)
	task := Task{
		Job:          e.Task.Job,
		Attempt:      e.Task.Attempt,
		Rank:         e.Task.Rank,
		Class:        string(e.Spec.Class),
		Accelerators: e.Share.Accelerators,
		Cores:        e.Share.Cores,
		Memory:       e.Share.Memory,
		Input:        e.Spec.Input,
		Object:       e.Spec.Object,
		Lease:        DefaultLease.Seconds(),
	}
	begun := false
	silent := time.Now()
	for {
		var report Report
		var err error
		if !begun {
			err = d.client.Start(ctx, name, task)
			begun = err == nil
			report.State = StateRunning
		} else {
			report, err = d.client.Wait(ctx, name)
		}
		switch {
		case ctx.Err() != nil:
			return wire.Result{}, ctx.Err()
		case err != nil && (refused(err) || time.Since(silent) > DefaultGiveUp):
			return wire.Result{Failed: true, Reason: err.Error()}, nil
		case err != nil:
			pause(ctx, DefaultRetry)
		case report.State == StateRunning:
			silent = time.Now()
		default:
			return d.result(ctx, name, report), nil
		}
	}
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

// stop stops a task at the runner and then reports it stopped.
func (d *Driver) stop(e agent.StopTask) {
	d.mu.Lock()
	cancel, ok := d.cancels[e.Task]
	d.mu.Unlock()
	if ok {
		cancel()
	}
	for d.ctx.Err() == nil {
		report, err := d.client.Stop(d.ctx, Name(e.Task))
		if refused(err) || (err == nil && report.State != StateRunning) {
			break
		}
		pause(d.ctx, DefaultRetry)
	}
	d.post(d.ctx, agent.TaskStopped{Task: e.Task})
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
