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
	// ObserveInterval is the interval at which the leader reports the state of
	// the region.
	ObserveInterval = 15 * time.Second

	// OtherClass replaces the classes that an account's parameters do not name.
	OtherClass account.Class = "other"
)

type (
	// JobEnded is an effect: a job has ended at its leader.
	JobEnded struct {
		Account   account.Name
		Class     account.Class
		State     job.State
		Attempts  job.Attempt
		Submitted time.Time
		Started   time.Time
		Ended     time.Time
	}

	// RequestRefused is an effect: a request was refused. Account is empty if the
	// check of its token and its limits refused it.
	RequestRefused struct {
		Account account.Name
		Reason  Reason
	}

	// Reason is why a request was refused. It is used as a metric label, so
	// that it has few values.
	Reason string

	// RegionObserved is an effect: the periodic report of the leader's overview
	// of the region.
	RegionObserved struct {
		Overview scheduler.Overview
	}

	// LeadershipChanged is an effect: the lease of the region has changed. Held
	// reports whether this gate holds it.
	LeadershipChanged struct {
		Leader machine.Node
		Epoch  lease.Epoch
		Held   bool
	}

	// LeaseEvent is an effect: a step of the election, for the log.
	LeaseEvent struct {
		lease.Event
	}

	// WorkerChanged is an effect: a worker has joined its leader, begins to
	// drain, or was lost.
	WorkerChanged struct {
		Worker floor.WorkerID
		Change WorkerChangeKind
	}

	// WorkerChangeKind is the kind of a WorkerChanged.
	WorkerChangeKind string
)

const (
	// ReasonDenied is an unknown account or a wrong token.
	ReasonDenied Reason = "denied"

	// ReasonRate is an account that exceeds its request rate.
	ReasonRate Reason = "rate"

	// ReasonQueue is an exceeded queue limit, or any other refusal of a job
	// that may run another time.
	ReasonQueue Reason = "queue"

	// ReasonNever is a job that can never run.
	ReasonNever Reason = "never"

	// ReasonUnavailable is a leader or a table that does not answer, or too
	// many open requests.
	ReasonUnavailable Reason = "unavailable"

	// ReasonBodyMismatch is an idempotency key used with a different body.
	ReasonBodyMismatch Reason = "mismatch"

	// WorkerJoined is a worker that its leader has fenced and uses.
	WorkerJoined WorkerChangeKind = "joined"

	// WorkerDraining is a draining worker, which gets no new work.
	WorkerDraining WorkerChangeKind = "leaving"

	// WorkerLost is a worker that its leader has given up.
	WorkerLost WorkerChangeKind = "lost"
)

// observeRegion emits an overview of the region, if this gate leads it and the
// ObserveInterval has passed.
func (g *Gate) observeRegion(now time.Time) {
	if g.leader == nil || !g.leader.ready || now.Before(g.lastObserved.Add(ObserveInterval)) {
		return
	}
	g.lastObserved = now
	g.emit(RegionObserved{Overview: g.leader.policy.Overview(now)})
}

// observeEnd emits the end of a job.
func (g *Gate) observeEnd(record job.Record) {
	g.emit(JobEnded{
		Account:   record.Spec.Account,
		Class:     g.settings.classLabel(record.Spec.Account, record.Spec.Class),
		State:     record.State,
		Attempts:  record.Attempt,
		Submitted: record.Submitted,
		Started:   record.Started,
		Ended:     record.Ended,
	})
	if record.State == job.StateRefused {
		reason := ReasonQueue
		if record.Permanent {
			reason = ReasonNever
		}
		g.emit(RequestRefused{Account: record.Spec.Account, Reason: reason})
	}
}

// observeError emits a RequestRefused for a request that ended with an error in
// place of a record.
func (g *Gate) observeError(name account.Name, err error) {
	var (
		denied      *DeniedError
		limited     *RateError
		mismatch    *BodyMismatchError
		unavailable *UnavailableError
	)
	switch {
	case errors.As(err, &denied):
		g.emit(RequestRefused{Reason: ReasonDenied})
	case errors.As(err, &limited):
		g.emit(RequestRefused{Reason: ReasonRate})
	case errors.As(err, &mismatch):
		g.emit(RequestRefused{Account: name, Reason: ReasonBodyMismatch})
	case errors.As(err, &unavailable):
		g.emit(RequestRefused{Account: name, Reason: ReasonUnavailable})
	}
}

// classLabel returns the class if the account's parameters name it, and
// OtherClass otherwise, so that callers cannot create metric label values.
func (s *settings) classLabel(name account.Name, class account.Class) account.Class {
	parameters := s.accounts[name].Parameters
	for _, known := range append(parameters.Order, parameters.Urgent...) {
		if known == class {
			return class
		}
	}
	return OtherClass
}
