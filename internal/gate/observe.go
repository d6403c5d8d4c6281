package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// ObserveInterval is the time between two observations of the region.
	ObserveInterval = 15 * time.Second

	// OtherClass stands for the classes that an account's parameters do not name.
	OtherClass account.Class = "other"
)

type (
	// JobEnded is an effect: the end of a job is observed by its leader.
	JobEnded struct {
		Account   account.Name
		Class     account.Class
		State     job.State
		Attempts  job.Attempt
		Submitted time.Time
		Started   time.Time
		Ended     time.Time
	}

	// JobRefused is an effect: a request was refused for a reason.
	JobRefused struct {
		Account account.Name
		Reason  Reason
	}

	// Reason is why a request was refused, as a label of few values.
	Reason string

	// RegionObserved is an effect: the leader's state of the region, from time to
	// time.
	RegionObserved struct {
		Overview scheduler.Overview
	}

	// LeadershipChanged is an effect: the region has another leader.
	LeadershipChanged struct {
		Leader machine.Node
		Epoch  lease.Epoch
		Held   bool
	}

	// WorkerChanged is an effect: a worker joined its leader, or left it.
	WorkerChanged struct {
		Worker floor.WorkerID
		Change Change
	}

	// Change is what became of a worker.
	Change string
)

const (
	// ReasonDenied is a wrong account or token.
	ReasonDenied Reason = "denied"

	// ReasonRate is an account that makes too many requests.
	ReasonRate Reason = "rate"

	// ReasonQueue is a queue limit that is reached.
	ReasonQueue Reason = "queue"

	// ReasonNever is a job that can never run.
	ReasonNever Reason = "never"

	// ReasonUnavailable is a leader or a store that does not answer.
	ReasonUnavailable Reason = "unavailable"

	// ReasonMismatch is an idempotency key used with another body.
	ReasonMismatch Reason = "mismatch"

	// WorkerJoined is a worker that its leader has fenced and uses.
	WorkerJoined Change = "joined"

	// WorkerLeaving is a worker that takes no new work.
	WorkerLeaving Change = "leaving"

	// WorkerLost is a worker that its leader has given up.
	WorkerLost Change = "lost"
)

// observeRegion reports the state of the region, if this gate leads it and it is
// time.
func (g *Gate) observeRegion(now time.Time) {
	if g.leader == nil || !g.leader.ready || now.Before(g.observed.Add(ObserveInterval)) {
		return
	}
	g.observed = now
	g.emit(RegionObserved{Overview: g.leader.policy.Overview(now)})
}

// observeEnd reports the end of a job.
func (g *Gate) observeEnd(record job.Record) {
	g.emit(JobEnded{
		Account:   record.Spec.Account,
		Class:     g.directory.class(record.Spec.Account, record.Spec.Class),
		State:     record.State,
		Attempts:  record.Attempt,
		Submitted: record.Submitted,
		Started:   record.Started,
		Ended:     record.Ended,
	})
	if record.State == job.StateRefused {
		reason := ReasonQueue
		if record.Never {
			reason = ReasonNever
		}
		g.emit(JobRefused{Account: record.Spec.Account, Reason: reason})
	}
}

// observeError reports a request that ended without a job's record.
func (g *Gate) observeError(name account.Name, err error) {
	var (
		denied      *DeniedError
		limited     *RateError
		mismatch    *MismatchError
		unavailable *UnavailableError
	)
	switch {
	case errors.As(err, &denied):
		g.emit(JobRefused{Reason: ReasonDenied})
	case errors.As(err, &limited):
		g.emit(JobRefused{Reason: ReasonRate})
	case errors.As(err, &mismatch):
		g.emit(JobRefused{Account: name, Reason: ReasonMismatch})
	case errors.As(err, &unavailable):
		g.emit(JobRefused{Account: name, Reason: ReasonUnavailable})
	}
}

// class returns the class if the account's parameters name it, and else
// OtherClass, so that callers cannot make up label values.
func (d *directory) class(name account.Name, class account.Class) account.Class {
	parameters := d.accounts[name].Parameters
	for _, known := range append(parameters.Order, parameters.Urgent...) {
		if known == class {
			return class
		}
	}
	return OtherClass
}
