// Package scheduler decides which waiting job starts on which workers and when,
// which running jobs are reclaimed or throttled, and which jobs are refused. It
// has no input or output: the leader of a region passes in events and carries the
// decisions out.
//
// A job either runs on a guarantee of its account, or it borrows capacity that
// no guaranteed or reserved job needs at the time. Capacity that is needed is
// reclaimed from borrowers by evicting them: they are stopped and go back to
// their queues. The place of a job is the shares of workers that it holds or is
// to hold.
package scheduler

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// Job is the part of a job that scheduling depends on. Expected is the
	// declared run time, or zero. A job with Checkpoint can save its progress
	// when it is stopped; one that is Idempotent may run again after it was
	// interrupted.
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

	// Start is a decision to start a job on a placement.
	Start struct {
		Job       job.ID
		Placement floor.Placement
	}

	// Reclaim is a decision to evict a job that runs or is being started, so
	// that another job can use its place: the job is stopped and goes back to
	// its queue. Grace is the time that it has to stop, zero to stop it at
	// once; Checkpoint reports whether it saves its progress first.
	Reclaim struct {
		Job        job.ID
		Grace      time.Duration
		Checkpoint bool
	}

	// Throttle is a decision to slow a running job down to keep a cooling budget,
	// or, if Slow is false, to let it run at full speed again.
	Throttle struct {
		Job  job.ID
		Slow bool
	}

	// Decision is a Start, a Reclaim or a Throttle.
	Decision any

	// Budget limits the power, in watts, that the workers of a part of the
	// region may draw together, to what can be cooled there. With an empty Rack
	// it applies to the whole data centre, with an empty DataCentre to the
	// whole region.
	Budget struct {
		DataCentre floor.DataCentreID `json:"datacentre,omitempty"`
		Rack       floor.RackID       `json:"rack,omitempty"`
		Cooling    floor.Watts        `json:"cooling"`
	}

	// Explanation says why a job waits, or on which capacity it runs. Position
	// is its position in the queue of its account, from one, and zero if it
	// runs or is in back-off; Blockers lists jobs that occupy the place it is
	// to have, and Reserved is the time at which a reserved place is expected
	// to be free.
	Explanation struct {
		Job      job.ID    `json:"job"`
		Waiting  bool      `json:"waiting"`
		Position int       `json:"place"`
		Reason   string    `json:"reason"`
		Blockers []job.ID  `json:"blockers,omitempty"`
		Reserved time.Time `json:"reserved,omitzero"`
	}

	// WorkerState is the state of a worker and what running jobs use of it. A
	// worker in quarantine gets no new jobs because jobs failed on it.
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

	// AccountState counts the jobs of an account, and in AtRisk the guaranteed
	// shapes that have no usable workers at present.
	AccountState struct {
		Account account.Name `json:"account"`
		Waiting int          `json:"waiting"`
		Running int          `json:"running"`
		AtRisk  int          `json:"risk"`
	}

	// Overview is the state of a policy for operators. Fragmentation is the
	// fraction of the free accelerators, from 0 to 1, that cannot serve the
	// largest waiting shape.
	Overview struct {
		Workers       []WorkerState  `json:"workers"`
		Queues        []AccountState `json:"queues"`
		Fragmentation float64        `json:"fragmentation"`
	}

	// Outcome is the result of a run of a job. FailedOn is the worker on which it
	// failed. A cancelled run is not used for statistics.
	Outcome struct {
		Failed    bool
		Cancelled bool
		FailedOn  floor.WorkerID
		Elapsed   time.Duration
	}

	// Policy holds the workers, accounts and jobs of one region and makes the
	// scheduling decisions. It has no input or output and is not safe for
	// concurrent use.
	Policy interface {
		// AddWorker adds a worker, replaces its description, or makes a drained
		// or removed worker usable again.
		AddWorker(worker floor.Worker)

		// DrainWorker stops placing new jobs on a worker. Its running jobs stay.
		DrainWorker(id floor.WorkerID)

		// RemoveWorker marks a worker as lost. The caller must then call Remove
		// or Requeue for each job that runs on it.
		RemoveWorker(id floor.WorkerID)

		// SetAccounts replaces all accounts.
		SetAccounts(accounts []account.Account)

		// CheckAccounts returns a GuaranteeError if the known workers cannot
		// hold the guarantees of the accounts all at once. While no workers are
		// known it returns nil.
		CheckAccounts(accounts []account.Account) error

		// Admit adds a job to its queue. It returns a RefusedError if the shape
		// is invalid, if no known workers can ever hold it, or if the account
		// has reached its queue limit. Shapes are not compared with the workers
		// while none are known, or while workers of restored placements are
		// still awaited. Admitting a job again has no effect.
		Admit(now time.Time, entry Job) error

		// Restore adds a job that a former leader admitted. The job waits if the
		// placement is nil and runs otherwise. Workers that the placement names
		// may be added later.
		Restore(now time.Time, entry Job, placement floor.Placement)

		// Requeue puts a started job back into its queue, in the order of
		// submission. Unless it was being reclaimed, a job that failed, or that
		// ended early without losing a worker, waits for a back-off first.
		Requeue(now time.Time, id job.ID, outcome Outcome)

		// Exhausted reports whether a requeued job should not be tried again, because
		// its failures are its own and not those of its workers, or because there
		// were too many.
		Exhausted(id job.ID) bool

		// Remove deletes a job that ended or was cancelled, and frees its place.
		Remove(now time.Time, id job.ID, outcome Outcome)

		// Decide returns the decisions that are due, and assumes that the caller
		// carries them out.
		Decide(now time.Time) []Decision

		// SetBudgets replaces all cooling budgets.
		SetBudgets(budgets []Budget)

		// ReportDraw records the power draw of a worker at a time, in watts.
		// Reports may be late; one that is older than the last is ignored.
		ReportDraw(at time.Time, id floor.WorkerID, draw floor.Watts)

		// Explain says why a job waits, or on which capacity it runs. It
		// returns false if the job is unknown.
		Explain(now time.Time, id job.ID) (Explanation, bool)

		// Overview returns the state for operators.
		Overview(now time.Time) Overview

		// Wake returns the time at which Decide must be called even if nothing
		// else happens, or the zero time.
		Wake() time.Time
	}

	// RefusedError says why a job is not admitted. Field names the part of the
	// job at fault; Permanent means that submitting the job again later would not
	// help.
	RefusedError struct {
		Field     string
		Reason    string
		Permanent bool
	}

	// GuaranteeError says which guarantee of which account the known workers
	// cannot hold.
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
	return fmt.Sprintf("the known workers cannot hold %d guarantees of %d workers with %d accelerators each for account %s",
		e.Count, e.Shape.Workers, e.Shape.Accelerators, e.Account)
}
