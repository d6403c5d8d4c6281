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
func (c *Checker) CheckFinal() error {
	excused := make(map[job.ID]bool)
	for _, call := range c.region.Callers.Calls {
		excused[call.Job] = excused[call.Job] || call.Cancel || string(call.Spec.Input) == failingInput
	}
	for _, call := range c.region.Callers.Calls {
		if call.Reply == nil && call.Gate.Up() && call.Gate.Incarnation() == call.GateIncarnation {
			return fmt.Errorf("request %d for job %s has no reply", call.Request, call.Job)
		}
		if call.Reply == nil || call.Reply.Err != nil {
			continue
		}
		if err := c.checkFinalState(call, excused[call.Job]); err != nil {
			return err
		}
	}
	for _, r := range c.region.Runners {
		for _, id := range r.Running() {
			return fmt.Errorf("%s still runs task %v", r.Worker.ID, id)
		}
	}
	return nil
}

// checkFinalState checks the final record of a job whose acceptance was reported to a caller.
// A job that was cancelled or fails by its input is excused from success.
func (c *Checker) checkFinalState(call *Call, excused bool) error {
	row, ok := c.region.Store.Row(table.Key("done/" + string(RegionID) + "/" + string(call.Job)))
	reported, known := c.reported[call.Job]
	if !ok && known && c.mayChange(reported) {
		return nil
	}
	if !ok {
		return fmt.Errorf("job %s was accepted and has not ended", call.Job)
	}
	var record job.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return err
	}
	if known && reported.State != record.State && !c.mayChange(reported) {
		return fmt.Errorf("job %s was reported as %s but is recorded as %s", call.Job, reported.State, record.State)
	}
	switch {
	case record.State == job.StateDone && !record.Answer.Matches(Output(call.Job, 0)):
		return fmt.Errorf("job %s has a wrong answer", call.Job)
	case record.Ran == job.NotRun && c.Starts(call.Job) > 0:
		return fmt.Errorf("job %s is recorded as not run, but it was started", call.Job)
	case record.State == job.StateDone, record.State == job.StateRefused, record.Ran == job.NotRun, excused:
		return nil
	case record.Spec.Idempotent:
		return fmt.Errorf("idempotent job %s ended as %s: %s", call.Job, record.State, record.Reason)
	case record.State == job.StateUnknown:
		return nil
	default:
		return fmt.Errorf("job %s ended as %s: %s", call.Job, record.State, record.Reason)
	}
}
