package serve

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/admission"
	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/entry"
	"github.com/lovageroad/lovageroad/internal/forecast"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// forecastQueryInterval is the least time between two queries for the leader's forecast. A
// gate asks only while jobs are handed in, and no job waits for the answer.
const forecastQueryInterval = 250 * time.Millisecond

// admitter decides for a gate which jobs it accepts. It keeps the newest forecast of the
// leader.
type admitter struct {
	gate *Gate

	mu      sync.Mutex
	known   *forecast.Forecast
	askedAt time.Time
	asking  bool

	// knownAt is when known was asked for, less its age then.
	knownAt time.Time
	returns *admission.Returns
}

func newAdmitter(g *Gate) *admitter {
	return &admitter{gate: g, returns: admission.NewReturns()}
}

// check returns entry.Refused with an *admission.RefusedError for a job that can't be of
// value any more, the verdict on a job that would be refused but has been stored before,
// and entry.NotStored for one that is to be stored.
func (a *admitter) check(ctx context.Context, queue *configuration.Queue, job work.Job) (entry.Verdict, error) {
	now := boottime.Now()
	known, age := a.forecast(ctx, now)
	request := admission.Request{Job: job, Queue: queue}
	if current, _ := a.gate.holder.Current(); current != nil {
		request.Guaranteed = current.GuaranteedAccelerators(job.Account)
	}
	decision := admission.Check(request, known, age)
	metrics := a.gate.metrics
	metrics.forecastWait.WithLabelValues(string(queue.ID)).Set(decision.Wait.Seconds())
	refused := decision.Refused
	if refused == nil {
		return entry.NotStored, nil
	}
	verdict, stored, err := a.gate.entry.Stored(ctx, job)
	if stored || err != nil {
		return verdict, nil
	}
	refused.RetryAfter = a.turn(now, queue, job.ID, refused)
	metrics.refusals.WithLabelValues(string(queue.ID), string(refused.Reason)).Inc()
	klog.InfoS("job refused", "job", job.ID, "queue", queue.ID, "account", job.Account, "reason", refused.Reason,
		"wait", refused.Wait, "limit", refused.Limit, "age", refused.Age, "epoch", known.Epoch, "retryAfter", refused.RetryAfter)
	return entry.Refused, refused
}

// turn returns when a refused caller may come back. All gates share the room, so that each
// leaves the others theirs.
func (a *admitter) turn(now time.Time, queue *configuration.Queue, id work.JobID, refused *admission.RefusedError) time.Duration {
	gates := time.Duration(len(a.gate.otherGates()) + 1)
	spacing := min(refused.Share, admission.MaxRetryAfter) * gates
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returns.Turn(now, id, admission.Class{Pool: queue.Pool, Priority: queue.Priority}, refused.RetryAfter, spacing)
}

// waited returns how long ago this gate first refused a job, 0 if it has not.
func (a *admitter) waited(id work.JobID) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returns.Waited(boottime.Now(), id)
}

// forecast returns the newest forecast and its age, or nil if there is none of the present
// leader. It asks for a newer one in the background.
func (a *admitter) forecast(ctx context.Context, now time.Time) (*forecast.Forecast, time.Duration) {
	epoch := a.gate.redirect().Epoch
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.asking && now.Sub(a.askedAt) >= forecastQueryInterval {
		a.asking, a.askedAt = true, now
		go a.ask(context.WithoutCancel(ctx), epoch, now)
	}
	if a.known == nil || a.known.Epoch != epoch {
		a.gate.metrics.forecastAge.Set(-1)
		return nil, 0
	}
	age := now.Sub(a.knownAt)
	a.gate.metrics.forecastAge.Set(age.Seconds())
	return a.known, age
}

// ask queries the leader for its forecast, and keeps it if it is valid and of the epoch
// that the gate knew.
func (a *admitter) ask(ctx context.Context, epoch lease.Epoch, now time.Time) {
	made := a.gate.askLeader(ctx, control.Query{Forecast: true}).Forecast
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = false
	if made == nil || made.Epoch != epoch {
		return
	}
	if err := made.Check(); err != nil {
		a.gate.metrics.forecastsIgnored.Inc()
		klog.InfoS("forecast ignored", "epoch", epoch, "reason", err)
		return
	}
	a.known, a.knownAt = made, now.Add(-made.Age)
}
