package runner

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Heartbeat is the event of a runner's heartbeat: its description of itself. Seq
	// numbers the heartbeats of an incarnation, Clock is the runner's clock.
	Heartbeat struct {
		Runner control.Runner
		Seq    uint64
		Clock  Clock
	}

	// Gone is the event that a runner has announced that it ends now. ID.Incarnation is 0
	// if the incarnation is not known.
	Gone struct {
		ID control.RunnerID
	}

	// StartTask is the effect that tells the runner to start a task. Until is the
	// lease end that it requests.
	StartTask struct {
		Runner control.RunnerID
		Start  control.Start
		Token  Token
		Until  Clock
	}

	// StartResult is the event that answers a StartTask. Clock is the time on the
	// runner's clock, nil if the answer has none.
	StartResult struct {
		Call   StartTask
		Answer Answer
		Reason string
		Clock  *Clock
	}

	// StopTask is the effect that tells the runner to stop a task.
	StopTask struct {
		Runner control.RunnerID
		Stop   control.Stop
		Token  Token
	}

	// StopResult is the event that answers a StopTask.
	StopResult struct {
		Call   StopTask
		Answer Answer
	}

	// PaceTask is the effect that tells the runner at which percent a task works.
	PaceTask struct {
		Runner control.RunnerID
		Pace   control.Pace
		Token  Token
	}

	// PaceResult is the event that answers a PaceTask.
	PaceResult struct {
		Call   PaceTask
		Answer Answer
	}

	// RenewLease is the effect that renews the runner's lease and asks for its tasks
	// and results. Until is the requested lease end, or 0 to leave the lease as it
	// is. The runner may drop the results up to Acked. It may delay its answer by
	// Wait while no task ends. The call goes over Connection or not at all, unless that
	// is 0.
	RenewLease struct {
		Runner control.RunnerID
		Number uint64
		Sent   time.Time
		Token  Token
		Until  Clock
		Acked  control.ResultID
		Wait   time.Duration

		Connection Connection
	}

	// RenewLeaseResult is the event that answers a RenewLease. Clock is the time
	// on the runner's clock. Partial says that tasks or results may be missing.
	// Connection is the connection over which the answer came.
	RenewLeaseResult struct {
		Call    RenewLease
		Answer  Answer
		Clock   Clock
		Tasks   []control.Task
		Results []control.Result
		Partial bool

		Connection Connection
	}

	// Send is the effect that sends a report to a gate.
	Send struct {
		To     machine.Node
		Report control.Report
		Sent   time.Time
	}

	// SendResult is the event that answers a Send. Orders is valid if Err is nil.
	SendResult struct {
		Call   Send
		Orders control.Orders
		Err    error
	}

	// FindGates is the effect that looks for the region's gates in the table.
	FindGates struct{}

	// GatesFound is the event that answers FindGates. Gates has the gates that announced
	// themselves last first. It is valid if Err is nil.
	GatesFound struct {
		Gates []machine.Node
		Err   error
	}

	// Tick is the event that time has passed.
	Tick struct{}

	// Log is the effect that writes a log line and counts the event.
	Log struct {
		Event     string
		KeyValues []any
	}
)
