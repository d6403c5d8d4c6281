package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Start is the event that the process has started. Tasks are those of its
	// former incarnations that the runner still has.
	Start struct {
		Tasks []RunnerTask
	}

	// RunnerTask is a task that a runner has from a former incarnation of the
	// agent.
	RunnerTask struct {
		Task  wire.TaskID
		Share floor.Allocation
		Peers []machine.Node
	}

	// Drain is the event that the upstream or the agent is to shut down. Running
	// tasks go on until they end, new ones are refused.
	Drain struct{}

	// RunnerStatus is the event that the runner reports the power that its worker draws,
	// and whether the upstream is draining.
	RunnerStatus struct {
		PowerDraw floor.Watts
		Draining  bool
	}

	// TaskEnded is the event that a task has ended with a result.
	TaskEnded struct {
		Task   wire.TaskID
		Result wire.Result
	}

	// TaskStopped is the event that a task does not run any more and has no
	// result, whether its stop was ordered or not.
	TaskStopped struct {
		Task   wire.TaskID
		Reason string
	}

	// RunTask is the effect that has the runner start a task.
	RunTask struct {
		Task  wire.TaskID
		Share floor.Allocation
		Spec  job.Spec
		Peers []machine.Node
	}

	// FollowTask is the effect that waits for the result of a task that the runner
	// already has.
	FollowTask struct {
		Task  wire.TaskID
		Peers []machine.Node
	}

	// StopTask is the effect that has the runner stop a task, at the latest when
	// the grace period is over. Checkpoint asks for a checkpoint before that.
	StopTask struct {
		Task       wire.TaskID
		Checkpoint bool
		Grace      time.Duration
	}

	// ThrottleTask is the effect that has the runner slow a task down, or let it
	// run at full speed again.
	ThrottleTask struct {
		Task wire.TaskID
		Slow bool
	}

	// ForgetTask is the effect that lets the runner remove its record of a task
	// that has ended.
	ForgetTask struct {
		Task wire.TaskID
	}

	// DrainDone is the effect that no task remains after a Drain: the process may exit.
	DrainDone struct{}
)
