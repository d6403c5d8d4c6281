package agent

import (
	"encoding/json"
	"hash/fnv"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// spreadSteps is the number of steps in which agents spread their inquiries.
	spreadSteps = 256
)

// heardOf takes note that a task needs no inquiry for a while.
func (a *Agent) heardOf(now time.Time, t *task) {
	t.wait = 0
	a.delayInquiry(now, t)
}

// delayInquiry doubles the time to the next inquiry, up to a bound, and spreads
// the agents over half as much again.
func (a *Agent) delayInquiry(now time.Time, t *task) {
	t.wait = min(max(2*t.wait, a.config.Inquiry), MaxInquiry)
	hash := fnv.New32a()
	hash.Write([]byte(a.config.Worker.ID))
	spread := t.wait / 2 * time.Duration(hash.Sum32()%spreadSteps) / spreadSteps
	t.inquiry = now.Add(t.wait + spread)
}

// inquire asks the table, and the peers of a reservation, for tasks of which
// nothing was heard.
func (a *Agent) inquire(now time.Time) {
	var due []*task
	var keys []table.Key
	for _, t := range sorted(a.tasks) {
		if t.phase == wire.PhaseRunning || now.Before(t.inquiry) {
			continue
		}
		a.delayInquiry(now, t)
		if t.phase == wire.PhaseReserved && t.member != nil {
			a.carry(now, t, t.member.Ask())
		}
		due = append(due, t)
		keys = append(keys, a.doneKey(t), a.liveKey(t))
	}
	if len(due) > 0 {
		a.store.Read(keys, func(result machine.Stored) { a.learn(now, due, result) })
	}
}

func (a *Agent) doneKey(t *task) table.Key { return job.DoneKey(a.config.Worker.Region, t.id.Job) }

func (a *Agent) liveKey(t *task) table.Key { return job.LiveKey(a.config.Worker.Region, t.id.Job) }

func (a *Agent) learn(now time.Time, due []*task, result machine.Stored) {
	if result.Err != nil {
		return
	}
	for _, t := range due {
		if a.tasks[t.id] != t {
			continue
		}
		switch a.outcome(t, result.Rows) {
		case outcomeOver:
			a.drop(now, t)
		case outcomeStarted:
			a.begin(now, t)
		case outcomeOpen:
		}
	}
}

const (
	// outcomeOpen says that the table does not tell.
	outcomeOpen outcome = iota

	// outcomeStarted says that the start of the task's attempt is durable.
	outcomeStarted

	// outcomeOver says that the task's attempt has ended or will never start.
	outcomeOver
)

type outcome int

// outcome returns what the rows of a task's job say of the task.
func (a *Agent) outcome(t *task, rows []table.Row) outcome {
	for _, row := range rows {
		var record job.Record
		switch {
		case row.Key == a.doneKey(t):
			return outcomeOver
		case row.Key != a.liveKey(t) || json.Unmarshal(row.Value, &record) != nil:
		case record.Attempt < t.id.Attempt:
			return outcomeOpen
		case record.State == job.StateStarted && a.placed(t, record):
			return outcomeStarted
		default:
			return outcomeOver
		}
	}
	return outcomeOpen
}

// placed reports whether the record is of the task's own attempt and place.
func (a *Agent) placed(t *task, record job.Record) bool {
	rank := int(t.id.Rank)
	return record.Attempt == t.id.Attempt && record.Epoch == t.id.Epoch &&
		rank < len(record.Placement) && record.Placement[rank] == t.share
}

// drop gives up a task whose attempt is over.
func (a *Agent) drop(now time.Time, t *task) {
	if t.phase != wire.PhaseRunning {
		a.forget(now, t)
	}
}
