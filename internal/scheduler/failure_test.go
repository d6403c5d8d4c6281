package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// TestSpent fails a job on one worker after the other. The failures are the job's
// own if no other job failed there; if others did, it is tried more often.
func TestSpent(t *testing.T) {
	tests := []struct {
		name   string
		others bool
		starts int
	}{
		{"alone on an idle floor", false, 3},
		{"on workers that failed others", true, scheduler.MaxFailures},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			p := scheduler.New()
			p.SetAccounts([]account.Account{{Name: "team", Parameters: account.DefaultParameters()}})
			for i := range 12 {
				p.AddWorker(floor.Worker{
					ID: floor.WorkerID(fmt.Sprintf("w%d", i)), Rack: "r", DataCentre: "d", Region: "g",
					Accelerators: 1, Cores: 4, Memory: 1024, Slots: 1,
				})
			}
			if test.others {
				for i := range 12 {
					admit(t, p, now, job.ID(fmt.Sprintf("other%d", i)))
				}
				failStarted(p, now)
				for i := range 12 {
					p.Remove(now, job.ID(fmt.Sprintf("other%d", i)), scheduler.Outcome{Cancelled: true})
				}
			}
			admit(t, p, now, "job")
			starts := 0
			for !p.Exhausted("job") && starts <= scheduler.MaxFailures {
				now = now.Add(time.Hour)
				starts += failStarted(p, now)
			}
			if starts != test.starts {
				t.Errorf("the job was tried %d times, want %d", starts, test.starts)
			}
		})
	}
}

func admit(t *testing.T, p scheduler.Policy, now time.Time, id job.ID) {
	t.Helper()
	err := p.Admit(now, scheduler.Job{
		ID: id, Account: "team", Class: "c", Idempotent: true, Submitted: now,
		Shape: floor.Shape{Workers: 1, Accelerators: 1, Cores: 1}.WithDefaults(),
	})
	if err != nil {
		t.Fatal(err)
	}
}

// failStarted fails every job that the policy starts, and returns their number.
func failStarted(p scheduler.Policy, now time.Time) int {
	starts := 0
	for _, decision := range p.Decide(now) {
		if s, ok := decision.(scheduler.Start); ok {
			starts++
			p.Requeue(now, s.Job, scheduler.Outcome{Failed: true, FailedOn: s.Placement[0].Worker})
		}
	}
	return starts
}
