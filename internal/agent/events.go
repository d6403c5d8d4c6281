package agent

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Start is an event: the process is up, and these are the tasks of its former
	// lives that its runner still has.
	Start struct {
		Tasks []RunnerTask
	}

	// RunnerTask is a task that a runner has.
	RunnerTask struct {
		Task  wire.TaskID
		Share floor.Share
		Peers []machine.Node
	}

	// Leave is an event: the upstream or the agent is to shut down. Running
	// tasks end, no new ones start.
	Leave struct{}

	// Usage is an event: the runner reports what its worker draws.
	Usage struct {
		Draw    floor.Watts
		Leaving bool
	}

	// TaskEnded is an event: the runner has a result of a task.
	TaskEnded struct {
		Task   wire.TaskID
		Result wire.Result
	}

	// TaskStopped is an event: a task does not run any more and has no result,
	// whether it was to be stopped or not.
	TaskStopped struct {
		Task   wire.TaskID
		Reason string
	}

	// RunTask is an effect: the runner is to start a task.
	RunTask struct {
		Task  wire.TaskID
		Share floor.Share
		Spec  job.Spec
		Peers []machine.Node
	}

	// FollowTask is an effect: wait for the result of a task that the runner has
	// already.
	FollowTask struct {
		Task  wire.TaskID
		Peers []machine.Node
	}

	// StopTask is an effect: the runner is to stop a task, at the latest when the
	// grace is over. Checkpoint asks for a checkpoint within the grace.
	StopTask struct {
		Task       wire.TaskID
		Checkpoint bool
		Grace      time.Duration
	}

	// ThrottleTask is an effect: the runner is to slow a task down, or to let it
	// run at full speed.
	ThrottleTask struct {
		Task wire.TaskID
		Slow bool
	}

	// ForgetTask is an effect: the runner may forget a task that has ended.
	ForgetTask struct {
		Task wire.TaskID
	}

	// Left is an effect: no task remains after a Leave, and the process may end.
	Left struct{}
)
