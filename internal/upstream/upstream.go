// Package upstream connects an agent to the runner on its upstream VM: it has the
// runner's HTTP protocol, a client, a driver that executes an agent's effects, and a
// fake runner for tests and the command dev.
//
// A runner serves these paths:
//
//	PUT    /v1/tasks/{id}              starts a task; a runner starts an id at most once, and never after a DELETE
//	GET    /v1/tasks/{id}?wait=        waits up to that many seconds for the task to end, returns its report, and renews its lease
//	GET    /v1/tasks                   lists the tasks that were not deleted
//	DELETE /v1/tasks/{id}?grace=&checkpoint=true  stops a task, at the latest after that many seconds, and forgets it
//	PUT    /v1/tasks/{id}/throttle     slows a task down or lets it run at full speed
//	GET    /v1/usage                   returns the worker's power draw in watts, and whether it is draining
//
// A runner stops a task by itself when its lease has expired, counted from the last
// PUT or GET of that task. It never renews an expired lease, even if the runner was
// paused meanwhile. A DELETE does not renew a lease, and a DELETE of an id that the
// runner does not know keeps a late PUT from starting it. So an agent that gets no
// answer to a DELETE may rely on the lease.
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
	// DefaultLease is the lease of a task without other members: the runner stops
	// the task when no PUT or GET for it has come for this time.
	DefaultLease = 60 * time.Second

	// GangLease is the lease of a task that is one of several members of a gang.
	GangLease = gang.DefaultLease

	// pollsPerLease is the number of polls for a result within one lease.
	pollsPerLease = 5

	// MaxWait is the longest time for which a runner lets a GET wait.
	MaxWait = 30 * time.Second

	// MaxAnswer is the largest answer in bytes.
	MaxAnswer = 64 << 20

	// StateRunning is the state of a running task.
	StateRunning State = "running"

	// StateDone is the state of a task that has an answer.
	StateDone State = "done"

	// StateFailed is the state of a task that failed.
	StateFailed State = "failed"

	// StateStopped is the state of a task that was stopped.
	StateStopped State = "stopped"
)

type (
	// State is the state of a task at the runner.
	State string

	// Task is the body of a PUT that starts a task. The runner returns it in its
	// list, without the input. Memory is in MiB, Lease in seconds.
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

	// Report is a runner's report on a task: its state, and once it has ended its
	// answer or the reason why there is none.
	Report struct {
		State  State  `json:"state"`
		Reason string `json:"reason,omitempty"`
		Answer []byte `json:"answer,omitempty"`
	}

	// Usage is a runner's report on its worker. PowerDraw is the power draw in watts.
	// Draining says that the worker must get no new tasks.
	Usage struct {
		PowerDraw floor.Watts `json:"draw"`
		Draining  bool        `json:"leaving,omitempty"`
	}

	// Throttle is the body of a PUT that sets a task's speed.
	Throttle struct {
		Slow bool `json:"slow"`
	}

	// StatusError is returned when a runner answers with a status other than 200.
	StatusError struct {
		Status int
		Body   string
	}
)

func (e *StatusError) Error() string {
	return fmt.Sprintf("runner answered with status %d: %s", e.Status, e.Body)
}

// TaskName returns the name of a task, the {id} in the runner's paths.
func TaskName(id wire.TaskID) string {
	return fmt.Sprintf("%s-%d-%d-%d", id.Job, id.Epoch, id.Attempt, id.Rank)
}

// leaseOf returns the lease of a task whose gang has the given agents.
func leaseOf(peers []machine.Node) time.Duration {
	if len(peers) > 1 {
		return GangLease
	}
	return DefaultLease
}
