package lab

import (
	"encoding/json"
	"fmt"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// Settled returns an error unless every request that is still open at a living
// gate was answered, every accepted job has ended whole or was truthfully
// refused, and no runner computes. It is for the time after all faults.
func (l *Ledger) Settled() error {
	excused := make(map[job.ID]bool)
	for _, c := range l.region.Callers.Calls {
		excused[c.Job] = excused[c.Job] || c.Cancel || string(c.Spec.Input) == failingInput
	}
	for _, c := range l.region.Callers.Calls {
		if c.Reply == nil && c.Gate.Up() && c.Gate.Life() == c.Life {
			return fmt.Errorf("request %d for job %s has no reply", c.Request, c.Job)
		}
		if c.Reply == nil || c.Reply.Err != nil {
			continue
		}
		if err := l.settled(c, excused[c.Job]); err != nil {
			return err
		}
	}
	for _, r := range l.region.Runners {
		for _, id := range r.Running() {
			return fmt.Errorf("%s still computes %v", r.Worker.ID, id)
		}
	}
	return nil
}

func (l *Ledger) settled(c *Call, excused bool) error {
	row, ok := l.region.Store.Row(table.Key("done/" + string(RegionID) + "/" + string(c.Job)))
	told, known := l.told[c.Job]
	if !ok && known && l.forgotten(told) {
		return nil
	}
	if !ok {
		return fmt.Errorf("job %s was accepted and has not ended", c.Job)
	}
	var record job.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return err
	}
	if known && told.State != record.State && !l.forgotten(told) {
		return fmt.Errorf("job %s was told as %s and is kept as %s", c.Job, told.State, record.State)
	}
	switch {
	case record.State == job.StateDone && !record.Answer.Whole(Output(c.Job, 0)):
		return fmt.Errorf("job %s has a wrong answer", c.Job)
	case record.Ran == job.NotRun && l.Starts(c.Job) > 0:
		return fmt.Errorf("job %s is kept as not run, but it ran", c.Job)
	case record.State == job.StateDone, record.State == job.StateRefused, record.Ran == job.NotRun, excused:
		return nil
	case record.Spec.Idempotent:
		return fmt.Errorf("idempotent job %s ended as %s: %s", c.Job, record.State, record.Reason)
	case record.State == job.StateUnknown:
		return nil
	default:
		return fmt.Errorf("job %s ended as %s: %s", c.Job, record.State, record.Reason)
	}
}
