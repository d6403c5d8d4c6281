package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// Line is a log entry for one decision or state change. Pairs leaves out fields
// with zero values, except the epoch.
type Line struct {
	Event   string
	Epoch   lease.Epoch
	Job     work.JobID
	Queue   work.QueueID
	Account work.AccountID
	Task    work.TaskID
	Run     work.Run
	Worker  control.AgentID
	Runner  control.RunnerID
	Outcome string
	Detail  string
	Age     time.Duration
	Count   int
}

// Pairs returns the epoch and the fields that are set, as alternating names and
// values for a structured logger.
func (l Line) Pairs() []any {
	pairs := []any{"epoch", l.Epoch}
	add := func(set bool, name string, value any) {
		if set {
			pairs = append(pairs, name, value)
		}
	}
	add(l.Job != "", "job", l.Job)
	add(l.Queue != "", "queue", l.Queue)
	add(l.Account != "", "account", l.Account)
	add(l.Task.Job != "", "task", l.Task.String())
	add(l.Run != 0, "run", l.Run)
	add(l.Worker != "", "worker", l.Worker)
	add(l.Runner.Name != "", "runner", l.Runner.Name)
	add(l.Outcome != "", "outcome", l.Outcome)
	add(l.Detail != "", "detail", l.Detail)
	add(l.Age != 0, "age", l.Age.Round(time.Millisecond))
	add(l.Count != 0, "count", l.Count)
	return pairs
}

// WithLog sets the function that receives each log entry, with the epoch and the
// job's queue and account filled in. The function must not block.
func (c *Core) WithLog(log func(Line)) *Core {
	c.log = func(line Line) {
		line.Epoch = c.epoch
		if j := c.jobs[line.Job]; j != nil {
			line.Queue, line.Account = j.Job.Queue, j.Job.Account
		}
		log(line)
	}
	return c
}
