package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// tracked notes whether a policy was told anything since it decided last, so that
// it decides only when something has changed or its time has come.
type tracked struct {
	scheduler.Policy
	changed bool
}

func (t *tracked) AddWorker(worker floor.Worker) {
	t.changed = true
	t.Policy.AddWorker(worker)
}

func (t *tracked) DrainWorker(id floor.WorkerID) {
	t.changed = true
	t.Policy.DrainWorker(id)
}

func (t *tracked) RemoveWorker(id floor.WorkerID) {
	t.changed = true
	t.Policy.RemoveWorker(id)
}

func (t *tracked) SetAccounts(accounts []account.Account) {
	t.changed = true
	t.Policy.SetAccounts(accounts)
}

func (t *tracked) SetBudgets(budgets []scheduler.Budget) {
	t.changed = true
	t.Policy.SetBudgets(budgets)
}

func (t *tracked) Admit(now time.Time, entry scheduler.Job) error {
	t.changed = true
	return t.Policy.Admit(now, entry)
}

func (t *tracked) Restore(now time.Time, entry scheduler.Job, placement floor.Placement) {
	t.changed = true
	t.Policy.Restore(now, entry, placement)
}

func (t *tracked) Requeue(now time.Time, id job.ID, outcome scheduler.Outcome) {
	t.changed = true
	t.Policy.Requeue(now, id, outcome)
}

func (t *tracked) Remove(now time.Time, id job.ID, outcome scheduler.Outcome) {
	t.changed = true
	t.Policy.Remove(now, id, outcome)
}

func (t *tracked) Report(at time.Time, id floor.WorkerID, draw floor.Watts) {
	t.changed = true
	t.Policy.Report(at, id, draw)
}

// due reports whether the policy is to decide now.
func (t *tracked) due(now time.Time) bool {
	wake := t.Wake()
	return t.changed || (!wake.IsZero() && !now.Before(wake))
}
