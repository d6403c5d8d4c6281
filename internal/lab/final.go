package lab

import (
	"encoding/json"
	"fmt"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// CheckFinal checks the final state of a region, some time after all faults. It returns
// an error unless every request at a gate that has not restarted since was answered,
// every accepted job has ended with a correct answer or a permitted failure, and no
// runner still runs a task.
func (l *Checker) CheckFinal() error {
	excused := make(map[job.ID]bool)
	for _, c := range l.region.Callers.Calls {
		excused[c.Job] = excused[c.Job] || c.Cancel || string(c.Spec.Input) == failingInput
	}
	for _, c := range l.region.Callers.Calls {
		if c.Reply == nil && c.Gate.Up() && c.Gate.Incarnation() == c.GateIncarnation {
			return fmt.Errorf("request %d for job %s has no reply", c.Request, c.Job)
		}
		if c.Reply == nil || c.Reply.Err != nil {
			continue
		}
		if err := l.checkFinalState(c, excused[c.Job]); err != nil {
			return err
		}
	}
	for _, r := range l.region.Runners {
		for _, id := range r.Running() {
			return fmt.Errorf("%s still runs task %v", r.Worker.ID, id)
		}
	}
	return nil
}

// checkFinalState checks the final record of a job that a caller was told is accepted.
// A job that was cancelled or fails by its input is excused from success.
func (l *Checker) checkFinalState(c *Call, excused bool) error {
	row, ok := l.region.Store.Row(table.Key("done/" + string(RegionID) + "/" + string(c.Job)))
	reported, known := l.reported[c.Job]
	if !ok && known && l.mayChange(reported) {
		return nil
	}
	if !ok {
		return fmt.Errorf("job %s was accepted and has not ended", c.Job)
	}
	var record job.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return err
	}
	if known && reported.State != record.State && !l.mayChange(reported) {
		return fmt.Errorf("job %s was reported as %s but is recorded as %s", c.Job, reported.State, record.State)
	}
	switch {
	case record.State == job.StateDone && !record.Answer.Matches(Output(c.Job, 0)):
		return fmt.Errorf("job %s has a wrong answer", c.Job)
	case record.Ran == job.NotRun && l.Starts(c.Job) > 0:
		return fmt.Errorf("job %s is recorded as not run, but it was started", c.Job)
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
