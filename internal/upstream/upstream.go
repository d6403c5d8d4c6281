// Package upstream speaks to the runner on an upstream VM, and holds a fake
// runner for tests and the command dev.
//
// A runner serves these paths:
//
//	PUT    /v1/tasks/{id}              starts a task; a runner starts an id once, and never after a DELETE
//	GET    /v1/tasks/{id}?wait=        waits up to so many seconds for the report, and renews the task's lease
//	GET    /v1/tasks                   lists the tasks that no DELETE has ended
//	DELETE /v1/tasks/{id}?grace=&checkpoint=true  stops a task, at the latest after so many seconds, and forgets its report
//	PUT    /v1/tasks/{id}/throttle     slows a task down or lets it run at full speed
//	GET    /v1/usage                   reports what the worker draws, and whether it is leaving
//
// A runner stops a task by itself when its lease has passed since the last PUT
// or GET of that task, and renews no lease that has passed, even if the runner
// was paused meanwhile. A DELETE does not renew a lease, and a DELETE of an id
// that the runner does not know keeps a late PUT from starting it. An agent that
// gets no answer to a DELETE may thus count on the lease.
package upstream

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// DefaultLease is the time after which a runner stops a task that nobody
	// asks about.
	DefaultLease = 60 * time.Second

	// GangLease is the DefaultLease of a task that is one of several members.
	GangLease = gang.DefaultLease

	// pollsPerLease is the number of waits for a result in one lease.
	pollsPerLease = 5

	// MaxWait is the longest wait that a runner grants.
	MaxWait = 30 * time.Second

	// MaxAnswer is the largest answer in bytes.
	MaxAnswer = 64 << 20

	// StateRunning is the state of a task that runs.
	StateRunning State = "running"

	// StateDone is the state of a task that has an answer.
	StateDone State = "done"

	// StateFailed is the state of a task that failed.
	StateFailed State = "failed"

	// StateStopped is the state of a task that was stopped.
	StateStopped State = "stopped"
)

type (
	// State is a step in the life of a task at the runner.
	State string

	// Task is what a runner is told to run. The runner gives it back in its list.
	Task struct {
		Job          job.ID             `json:"job"`
		Attempt      job.Attempt        `json:"attempt"`
		Epoch        lease.Epoch        `json:"epoch"`
		Rank         job.Rank           `json:"rank"`
		Peers        []machine.Node     `json:"peers,omitempty"`
		Class        string             `json:"class"`
		Worker       floor.WorkerID     `json:"worker"`
		Accelerators floor.Accelerators `json:"accelerators"`
		Cores        int                `json:"cores"`
		Memory       floor.MiB          `json:"memory"`
		Input        []byte             `json:"input,omitempty"`
		Object       string             `json:"object,omitempty"`
		Lease        float64            `json:"lease"`
	}

	// Report is what a runner says of a task.
	Report struct {
		State  State  `json:"state"`
		Reason string `json:"reason,omitempty"`
		Answer []byte `json:"answer,omitempty"`
	}

	// Usage is what a runner says of its worker. Draw is in watts. Leaving says
	// that the worker is to get no new tasks.
	Usage struct {
		Draw    floor.Watts `json:"draw"`
		Leaving bool        `json:"leaving,omitempty"`
	}

	// Throttle is what a runner is told of a task's speed.
	Throttle struct {
		Slow bool `json:"slow"`
	}

	// StatusError says that a runner refused a request.
	StatusError struct {
		Status int
		Body   string
	}
)

func (e *StatusError) Error() string {
	return fmt.Sprintf("the runner answered %d: %s", e.Status, e.Body)
}

// Name returns the id of a task in the runner's paths.
func Name(id wire.TaskID) string {
	return fmt.Sprintf("%s-%d-%d-%d", id.Job, id.Epoch, id.Attempt, id.Rank)
}

// leaseOf returns the lease of a task that has the given peers.
func leaseOf(peers []machine.Node) time.Duration {
	if len(peers) > 1 {
		return GangLease
	}
	return DefaultLease
}
