// Package upstream speaks to the runner on an upstream VM, and holds a fake
// runner for tests and the command dev.
//
// A task is started by PUT /v1/tasks/{id}, which is idempotent: a runner starts
// a task of one id once. GET /v1/tasks/{id} waits for its result, DELETE stops
// it. A runner stops a task that nobody asks about for its lease.
package upstream

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
)

const (
	// DefaultLease is the time after which a runner stops a task that nobody
	// asks about.
	DefaultLease = 60 * time.Second

	// PollWait bounds one wait for a result.
	PollWait = 10 * time.Second

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

	// Task is what a runner is told to run.
	Task struct {
		Job          job.ID             `json:"job"`
		Attempt      job.Attempt        `json:"attempt"`
		Rank         job.Rank           `json:"rank"`
		Class        string             `json:"class"`
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
