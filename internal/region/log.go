package region

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// Line is a log entry for one decision or state change. Fields with zero values are
// left out.
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

// Pairs returns the fields that are set, as alternating names and values for a
// structured logger. The epoch is always included.
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

// WithLog sets the function that receives each log entry. It must not block.
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
