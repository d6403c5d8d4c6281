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
	// spreadSteps is the number of different delays over which the agents spread
	// their inquiries.
	spreadSteps = 256
)

// resetInquiry sets the time to the next inquiry back to its initial value, after news
// of a task.
func (a *Agent) resetInquiry(now time.Time, t *task) {
	t.inquiryDelay = 0
	a.delayInquiry(now, t)
}

// delayInquiry doubles the time to the next inquiry, up to MaxInquiryInterval. It adds
// up to half of it, fixed for each worker, so that the agents do not inquire all at
// once.
func (a *Agent) delayInquiry(now time.Time, t *task) {
	t.inquiryDelay = min(max(2*t.inquiryDelay, a.config.InquiryInterval), MaxInquiryInterval)
	hash := fnv.New32a()
	hash.Write([]byte(a.config.Worker.ID))
	spread := t.inquiryDelay / 2 * time.Duration(hash.Sum32()%spreadSteps) / spreadSteps
	t.nextInquiry = now.Add(t.inquiryDelay + spread)
}

// inquire asks the table what became of the tasks that do not run and have had no news
// for a while. For a reservation it asks the peers of its gang, too.
func (a *Agent) inquire(now time.Time) {
	var due []*task
	var keys []table.Key
	for _, t := range sortedTasks(a.tasks) {
		if t.phase == wire.PhaseRunning || now.Before(t.nextInquiry) {
			continue
		}
		a.delayInquiry(now, t)
		if t.phase == wire.PhaseReserved && t.member != nil {
			a.applyActions(now, t, t.member.RequestHeartbeats())
		}
		due = append(due, t)
		keys = append(keys, a.endedKey(t), a.liveKey(t))
	}
	if len(due) > 0 {
		a.store.Read(keys, func(result machine.StoreResult) { a.applyInquiry(now, due, result) })
	}
}

func (a *Agent) endedKey(t *task) table.Key { return job.EndedKey(a.config.Worker.Region, t.id.Job) }

func (a *Agent) liveKey(t *task) table.Key { return job.LiveKey(a.config.Worker.Region, t.id.Job) }

// applyInquiry applies the rows that the table returned for an inquiry.
func (a *Agent) applyInquiry(now time.Time, due []*task, result machine.StoreResult) {
	if result.Err != nil {
		return
	}
	for _, t := range due {
		if a.tasks[t.id] != t {
			continue
		}
		switch a.statusOf(t, result.Rows) {
		case attemptOver:
			a.forgetUnlessRunning(now, t)
		case attemptStarted:
			a.start(now, t)
		case attemptUnknown:
		}
	}
}

const (
	// attemptUnknown says that the table does not show what became of the
	// attempt.
	attemptUnknown attemptStatus = iota

	// attemptStarted says that the start of the attempt is durable.
	attemptStarted

	// attemptOver says that the attempt has ended or will never start.
	attemptOver
)

// attemptStatus is what the table shows of a task's attempt.
type attemptStatus int

// statusOf returns the status of a task's attempt by the rows of its job.
func (a *Agent) statusOf(t *task, rows []table.Row) attemptStatus {
	for _, row := range rows {
		var record job.Record
		switch {
		case row.Key == a.endedKey(t):
			return attemptOver
		case row.Key != a.liveKey(t) || json.Unmarshal(row.Value, &record) != nil:
		case record.Attempt < t.id.Attempt:
			return attemptUnknown
		case record.State == job.StateStarted && a.matchesPlacement(t, record):
			return attemptStarted
		default:
			return attemptOver
		}
	}
	return attemptUnknown
}

// matchesPlacement reports whether a record is of the task's own attempt and places it
// on the same share.
func (a *Agent) matchesPlacement(t *task, record job.Record) bool {
	rank := int(t.id.Rank)
	return record.Attempt == t.id.Attempt && record.Epoch == t.id.Epoch &&
		rank < len(record.Placement) && record.Placement[rank] == t.share
}

// forgetUnlessRunning gives up a task whose attempt is over, unless it has started to
// run since the inquiry.
func (a *Agent) forgetUnlessRunning(now time.Time, t *task) {
	if t.phase != wire.PhaseRunning {
		a.forget(now, t)
	}
}
