// Package scheduler decides which job starts where and when, who is reclaimed,
// and what is refused.
package scheduler

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// Job is what a policy knows of a job.
	Job struct {
		ID         job.ID
		Account    account.Name
		Class      account.Class
		Shape      floor.Shape
		Checkpoint bool
		Idempotent bool
		Expected   time.Duration
		Submitted  time.Time
	}

	// Start is a decision to start a job.
	Start struct {
		Job       job.ID
		Placement floor.Placement
	}

	// Reclaim is a decision to stop a running job, or one being started, so that
	// its place can be used by another. The job waits again.
	Reclaim struct {
		Job        job.ID
		Grace      time.Duration
		Checkpoint bool
	}

	// Throttle is a decision to slow a running job down, or to let it run at full
	// speed again, so that a cooling budget is kept.
	Throttle struct {
		Job  job.ID
		Slow bool
	}

	// Decision is a Start, a Reclaim or a Throttle.
	Decision any

	// Budget is the cooling that the workers of a cell may draw together. An
	// empty rack stands for the whole data centre, an empty data centre for the
	// whole region.
	Budget struct {
		DataCentre floor.DataCentreID `json:"datacentre,omitempty"`
		Rack       floor.RackID       `json:"rack,omitempty"`
		Cooling    floor.Watts        `json:"cooling"`
	}

	// Explanation says why a job waits.
	Explanation struct {
		Job      job.ID    `json:"job"`
		Waiting  bool      `json:"waiting"`
		Place    int       `json:"place"`
		Reason   string    `json:"reason"`
		Blockers []job.ID  `json:"blockers,omitempty"`
		Reserved time.Time `json:"reserved,omitzero"`
	}

	// WorkerState is what a policy holds of a worker.
	WorkerState struct {
		Worker      floor.Worker       `json:"worker"`
		Busy        floor.Accelerators `json:"busy"`
		Cores       int                `json:"cores"`
		Memory      floor.MiB          `json:"memory"`
		Slots       int                `json:"slots"`
		Draining    bool               `json:"draining,omitempty"`
		Quarantined bool               `json:"quarantined,omitempty"`
		Jobs        []job.ID           `json:"jobs,omitempty"`
	}

	// QueueState is what a policy holds of an account.
	QueueState struct {
		Account account.Name `json:"account"`
		Waiting int          `json:"waiting"`
		Running int          `json:"running"`
		AtRisk  int          `json:"risk"`
	}

	// Overview is the state of a policy, for operators. AtRisk counts guaranteed
	// shapes that failed workers have broken. Fragmentation is the share of free
	// accelerators that cannot serve the largest waiting shape.
	Overview struct {
		Workers       []WorkerState `json:"workers"`
		Queues        []QueueState  `json:"queues"`
		Fragmentation float64       `json:"fragmentation"`
	}

	// Outcome is how the run of a job ended, as far as the policy learns from it.
	// A cancelled run teaches nothing.
	Outcome struct {
		Failed    bool
		Cancelled bool
		Blamed    floor.WorkerID
		Elapsed   time.Duration
	}

	// Policy holds the floor, the accounts and the jobs of one region, and
	// decides. It has no input or output.
	Policy interface {
		// AddWorker adds a worker, or replaces its description.
		AddWorker(worker floor.Worker)

		// DrainWorker keeps a worker from new work. Its running jobs stay.
		DrainWorker(id floor.WorkerID)

		// RemoveWorker removes a worker that is lost. Jobs on it must be ended or
		// requeued by the caller.
		RemoveWorker(id floor.WorkerID)

		// SetAccounts replaces all accounts.
		SetAccounts(accounts []account.Account)

		// CheckAccounts returns a GuaranteeError if the floor cannot hold the
		// guarantees of the accounts.
		CheckAccounts(accounts []account.Account) error

		// Admit adds a waiting job. It returns a RefusedError if the job can
		// never run or exceeds the queue limit.
		Admit(now time.Time, entry Job) error

		// Restore adds a job that was admitted under a former leader. A nil
		// placement is that of a waiting job. The workers of a placement may be
		// added later.
		Restore(now time.Time, entry Job, placement floor.Placement)

		// Requeue makes a started job wait again at its old place in the order.
		Requeue(now time.Time, id job.ID, outcome Outcome)

		// Spent reports whether a job that failed and was requeued is to blame
		// itself, so that trying it again is of no use.
		Spent(id job.ID) bool

		// Remove forgets a job that ended or was cancelled, and frees its place.
		Remove(now time.Time, id job.ID, outcome Outcome)

		// Decide returns the decisions due, and takes each for carried out.
		Decide(now time.Time) []Decision

		// SetBudgets replaces all cooling budgets.
		SetBudgets(budgets []Budget)

		// Report takes what a worker drew at a time. Reports lag.
		Report(at time.Time, id floor.WorkerID, draw floor.Watts)

		// Explain says why a job waits. It returns false if the job is unknown.
		Explain(now time.Time, id job.ID) (Explanation, bool)

		// Overview returns the state for operators.
		Overview(now time.Time) Overview

		// Wake returns the time at which Decide is due though nothing else
		// happens, or the zero time.
		Wake() time.Time
	}

	// RefusedError says why a job is not admitted.
	RefusedError struct {
		Field  string
		Reason string
		Never  bool
	}

	// GuaranteeError says which guarantee the floor cannot hold.
	GuaranteeError struct {
		Account account.Name
		Shape   floor.Shape
		Count   int
	}
)

func (e *RefusedError) Error() string {
	return e.Reason
}

func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("the floor cannot hold %d of %d workers with %d accelerators each for account %s",
		e.Count, e.Shape.Workers, e.Shape.Accelerators, e.Account)
}
