// Package control defines the messages between agents and gates: an agent
// reports the state of its runner, and the leading gate answers with orders.
package control

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// Starting is the phase of a task whose start the runner has not confirmed
	// yet. The task may already run.
	Starting Phase = iota

	// Running is the phase of a task whose start the runner has confirmed, or
	// that was in the runner's last list of its tasks.
	Running
)

const (
	// Done says that a task completed its work.
	Done Outcome = "done"

	// Failed says that a task failed by its own fault or the runner's.
	Failed Outcome = "failed"

	// Stopped says that a task ended because it was ordered to stop.
	Stopped Outcome = "stopped"

	// Expired says that the runner ended a task because its lease expired.
	Expired Outcome = "lapsed"

	// GangMemberEnded says that a task was ended because another member of its gang had
	// ended.
	GangMemberEnded Outcome = "broken"

	// GangIncomplete says that a task was ended because the other members of its gang
	// did not start.
	GangIncomplete Outcome = "alone"
)

type (
	// AgentID is the name of an agent. It stays the same when the agent restarts.
	AgentID string

	// Incarnation identifies an incarnation of an agent: one process lifetime under an
	// AgentID.
	Incarnation uint64

	// OrdersSeq is the sequence number of the orders that a leader sends to one
	// incarnation of an agent, from 1.
	OrdersSeq uint64

	// ResultID is the sequence number of a task result of one incarnation of a
	// runner, from 1.
	ResultID uint64

	// Phase is the state of a task that has not ended.
	Phase uint8

	// Outcome is how a run of a task ended.
	Outcome string

	// RunnerID identifies an incarnation of a runner: one process lifetime under
	// a name.
	RunnerID struct {
		Name string `cbor:"1,keyasint"`

		// Incarnation is the start time of the incarnation in milliseconds since 1970.
		Incarnation int64 `cbor:"2,keyasint,omitempty"`
	}

	// Runner is a runner's description of itself: its location and its capacity.
	Runner struct {
		ID       RunnerID       `cbor:"1,keyasint"`
		Pool     work.PoolID    `cbor:"2,keyasint"`
		Zone     work.ZoneID    `cbor:"3,keyasint,omitempty"`
		Rack     work.RackID    `cbor:"4,keyasint,omitempty"`
		Labels   []work.Label   `cbor:"5,keyasint,omitempty"`
		Capacity work.Resources `cbor:"6,keyasint"`
		Draining bool           `cbor:"7,keyasint,omitempty"`

		// Remaining is the least time for which a draining runner keeps running.
		Remaining time.Duration `cbor:"8,keyasint,omitempty"`
	}

	// Task is the state of a task that runs, or may run, at a runner.
	Task struct {
		ID         work.TaskID     `cbor:"1,keyasint"`
		Run        work.Run        `cbor:"2,keyasint"`
		Phase      Phase           `cbor:"3,keyasint,omitempty"`
		Checkpoint work.Checkpoint `cbor:"4,keyasint,omitempty"`

		// Percent is the completed share of the work in percent, as listed by the
		// runner. Its range is not checked.
		Percent int `cbor:"5,keyasint,omitempty"`

		// Usage is the runner's figure for the last half second: the tail latency in
		// milliseconds of a task that serves, else the processor in use. Its range is not
		// checked. It is 0 unless the leader has asked for it.
		Usage float64 `cbor:"6,keyasint,omitempty"`

		// Reduction is 100 less the percent at which the agent paces the run, 0 also if it
		// doesn't know that.
		Reduction int `cbor:"7,keyasint,omitempty"`
	}

	// Result is the result of a run that has ended. The agent reports it until the
	// leader acknowledges that it is durable.
	Result struct {
		ID         ResultID        `cbor:"1,keyasint"`
		Task       work.TaskID     `cbor:"2,keyasint"`
		Run        work.Run        `cbor:"3,keyasint"`
		Outcome    Outcome         `cbor:"4,keyasint"`
		Checkpoint work.Checkpoint `cbor:"5,keyasint,omitempty"`
	}

	// Refusal says that a run was not started and never will be.
	Refusal struct {
		Task   work.TaskID `cbor:"1,keyasint"`
		Run    work.Run    `cbor:"2,keyasint"`
		Reason string      `cbor:"3,keyasint"`
	}

	// Report is the message of an agent to a gate: the full state of its runner.
	Report struct {
		Agent       AgentID     `cbor:"1,keyasint"`
		Incarnation Incarnation `cbor:"2,keyasint"`

		// Seq numbers the reports of one incarnation of the agent.
		Seq uint64 `cbor:"3,keyasint"`

		// Epoch is the newest leader epoch from which the agent has received
		// orders.
		Epoch lease.Epoch `cbor:"4,keyasint,omitempty"`

		// Applied is the sequence number of the last orders of the epoch that the
		// agent has applied.
		Applied OrdersSeq `cbor:"5,keyasint,omitempty"`

		// Runner is nil while the agent has not found its runner.
		Runner *Runner `cbor:"6,keyasint,omitempty"`

		// Complete says that Tasks is complete: nothing else runs at the runner or
		// may still start there.
		Complete bool      `cbor:"7,keyasint,omitempty"`
		Tasks    []Task    `cbor:"8,keyasint,omitempty"`
		Results  []Result  `cbor:"9,keyasint,omitempty"`
		Refusals []Refusal `cbor:"10,keyasint,omitempty"`

		// Wait is how long the leader may delay its answer while it has no new
		// orders.
		Wait time.Duration `cbor:"11,keyasint,omitempty"`

		// RunnerGone says that none of the runner's tasks can still run, but for those in
		// Tasks, whose starts had no answer: it has shut down, another runner answers at its
		// address, or it did not answer until its lease had expired.
		RunnerGone bool `cbor:"12,keyasint,omitempty"`

		// Lease is how long after the report tasks may run on without orders, if their
		// lease may outlast the hold of the last orders.
		Lease time.Duration `cbor:"13,keyasint,omitempty"`

		// Fence is the Orders.Fence that the agent uses, or a higher one that it needs since
		// the fencing tokens under the present one run out.
		Fence uint16 `cbor:"16,keyasint,omitempty"`
	}

	// Start is the order to start a run of a task.
	Start struct {
		Task work.TaskID `cbor:"1,keyasint"`
		Run  work.Run    `cbor:"2,keyasint"`

		// Spec is the job's specification, which the runner gets unchanged.
		Spec string `cbor:"3,keyasint,omitempty"`

		// Checkpoint is where the run resumes.
		Checkpoint work.Checkpoint `cbor:"4,keyasint,omitempty"`
	}

	// Stop is the order to stop a run of a task.
	Stop struct {
		Task work.TaskID `cbor:"1,keyasint"`
		Run  work.Run    `cbor:"2,keyasint"`
	}

	// Pace is the order to let a run work at a percent of its speed.
	Pace struct {
		Task    work.TaskID `cbor:"1,keyasint"`
		Run     work.Run    `cbor:"2,keyasint"`
		Percent int         `cbor:"3,keyasint,omitempty"`
	}

	// Orders is a gate's answer to a report: the orders of a leader, or a hint from
	// another gate as to who leads. Orders let the agent keep its tasks running for
	// the time that HoldTime returns, counted from when the report was sent.
	Orders struct {
		// Leads says that the answering gate leads.
		Leads bool `cbor:"1,keyasint,omitempty"`

		// Leader is set by a gate that does not lead: the leader as far as it
		// knows.
		Leader machine.Node `cbor:"2,keyasint,omitempty"`
		Epoch  lease.Epoch  `cbor:"3,keyasint,omitempty"`
		Seq    OrdersSeq    `cbor:"4,keyasint,omitempty"`

		// Fence grows with each incarnation of the agent within the epoch, and when a
		// report asks for a higher one. It is a part of the fencing tokens of the agent's
		// calls to the runner.
		Fence uint16 `cbor:"5,keyasint,omitempty"`

		// Gates are gates that the agent may report to.
		Gates []machine.Node `cbor:"6,keyasint,omitempty"`

		// Runner and Acked acknowledge results: those of this incarnation of the
		// runner up to Acked are durable.
		Runner RunnerID `cbor:"7,keyasint"`
		Acked  ResultID `cbor:"8,keyasint,omitempty"`
		Starts []Start  `cbor:"9,keyasint,omitempty"`
		Stops  []Stop   `cbor:"10,keyasint,omitempty"`

		// ReportWait is the Wait of the agent's next reports, 0 to leave it unchanged.
		ReportWait time.Duration `cbor:"11,keyasint,omitempty"`

		// Evacuated says that the runner's data centre is being evacuated, so that no task
		// must be started there until orders no longer say so.
		Evacuated bool `cbor:"12,keyasint,omitempty"`

		// ReportUsage asks for Task.Usage in the next reports.
		ReportUsage bool `cbor:"14,keyasint,omitempty"`

		// Paces are the percents of runs that fill. Other runs work at full speed.
		Paces []Pace `cbor:"13,keyasint,omitempty"`
	}
)
