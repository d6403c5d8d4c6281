package region

import (
	"math"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// LogEntry describes one decision or state change for the log. KeyValues leaves out
// fields with zero values, except the epoch.
type LogEntry struct {
	Event   string
	Epoch   lease.Epoch
	Job     work.JobID
	Queue   work.QueueID
	Account work.AccountID
	Pool    work.PoolID
	Task    work.TaskID
	Run     work.Run
	Worker  control.AgentID
	Runner  control.RunnerID
	Zone    work.ZoneID
	Outcome string
	Detail  string
	Age     time.Duration
	Count   int

	// Slowdown is the run time on the worker against the usual one.
	Slowdown float64

	// Remaining is how long the task is expected to run on.
	Remaining time.Duration

	// Beneficiary is the step for which a task is preempted, Lost the work in
	// core-seconds that this loses.
	Beneficiary work.StepID
	Lost        float64

	// Shares are the accounts' shares of a pool beyond their guarantees, for metrics.
	Shares map[work.AccountID]float64

	// EpochAge is the time since the leader's epoch began.
	EpochAge time.Duration

	// Version is the version of the row, of the job's, or of the configuration.
	Version table.Version

	// ReportEpoch, ReportSeq and Incarnation are the report's that led to the entry.
	ReportEpoch lease.Epoch
	ReportSeq   uint64
	Incarnation control.Incarnation
}

// KeyValues returns the epoch and the fields that are set, as alternating names and
// values for a structured logger.
func (l LogEntry) KeyValues() []any {
	keyValues := []any{"epoch", l.Epoch}
	add := func(set bool, name string, value any) {
		if set {
			keyValues = append(keyValues, name, value)
		}
	}
	add(l.Job != "", "job", l.Job)
	add(l.Queue != "", "queue", l.Queue)
	add(l.Account != "", "account", l.Account)
	add(l.Pool != "", "pool", l.Pool)
	add(l.Task.Job != "", "task", l.Task.String())
	add(l.Run != 0, "run", l.Run)
	add(l.Worker != "", "worker", l.Worker)
	add(l.Runner.Name != "", "runner", l.Runner.Name)
	add(l.Zone != "", "zone", l.Zone)
	add(l.Outcome != "", "outcome", l.Outcome)
	add(l.Slowdown != 0, "slowdown", math.Round(100*l.Slowdown)/100)
	add(l.Detail != "", "detail", l.Detail)
	add(l.Age != 0, "age", l.Age.Round(time.Millisecond))
	add(l.Remaining != 0, "remaining", l.Remaining.Round(time.Millisecond))
	add(l.Beneficiary.Job != "", "beneficiary", l.Beneficiary.Job)
	add(l.Lost != 0, "lost", math.Round(l.Lost))
	add(l.EpochAge != 0, "epochAge", l.EpochAge.Round(time.Millisecond))
	add(l.Count != 0, "count", l.Count)
	add(l.Version != 0, "version", l.Version)
	add(l.ReportSeq != 0, "reportEpoch", l.ReportEpoch)
	add(l.ReportSeq != 0, "reportSeq", l.ReportSeq)
	add(l.Incarnation != 0, "incarnation", l.Incarnation)
	return keyValues
}

// SetLog sets the function that receives each log entry, with the epoch and the
// job's queue and account filled in. The function must not block.
func (c *Core) SetLog(log func(LogEntry)) *Core {
	c.log = func(entry LogEntry) {
		entry.Epoch = c.epoch
		if j := c.jobs[entry.Job]; j != nil {
			entry.Queue, entry.Account = j.Job.Queue, j.Job.Account
		}
		log(entry)
	}
	return c
}
