package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// trackedPolicy records whether the policy's input has changed since its last
// decision, so that it is asked for decisions only then or when its wake time
// has come.
type trackedPolicy struct {
	scheduler.Policy
	changed bool
}

func (t *trackedPolicy) AddWorker(worker floor.Worker) {
	t.changed = true
	t.Policy.AddWorker(worker)
}

func (t *trackedPolicy) DrainWorker(id floor.WorkerID) {
	t.changed = true
	t.Policy.DrainWorker(id)
}

func (t *trackedPolicy) RemoveWorker(id floor.WorkerID) {
	t.changed = true
	t.Policy.RemoveWorker(id)
}

func (t *trackedPolicy) SetAccounts(accounts []account.Account) {
	t.changed = true
	t.Policy.SetAccounts(accounts)
}

func (t *trackedPolicy) SetBudgets(budgets []scheduler.Budget) {
	t.changed = true
	t.Policy.SetBudgets(budgets)
}

func (t *trackedPolicy) Admit(now time.Time, entry scheduler.Job) error {
	t.changed = true
	return t.Policy.Admit(now, entry)
}

func (t *trackedPolicy) Restore(now time.Time, entry scheduler.Job, placement floor.Placement) {
	t.changed = true
	t.Policy.Restore(now, entry, placement)
}

func (t *trackedPolicy) Requeue(now time.Time, id job.ID, outcome scheduler.Outcome) {
	t.changed = true
	t.Policy.Requeue(now, id, outcome)
}

func (t *trackedPolicy) Remove(now time.Time, id job.ID, outcome scheduler.Outcome) {
	t.changed = true
	t.Policy.Remove(now, id, outcome)
}

func (t *trackedPolicy) ReportDraw(at time.Time, id floor.WorkerID, draw floor.Watts) {
	t.changed = true
	t.Policy.ReportDraw(at, id, draw)
}

// due reports whether the policy is to be asked for decisions.
func (t *trackedPolicy) due(now time.Time) bool {
	wake := t.Wake()
	return t.changed || (!wake.IsZero() && !now.Before(wake))
}
