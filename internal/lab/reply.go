package lab

import (
	"errors"
	"fmt"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
)

// checkReply checks that a caller gets the complete answer of its own job, that the
// reply agrees with earlier ones, and that a job reported as not run did not run.
func (c *Checker) checkReply(e gate.Reply) error {
	call := c.region.Callers.byID[e.Request]
	var unavailable *gate.UnavailableError
	if errors.As(e.Err, &unavailable) {
		return c.checkNotRun(call, unavailable.Ran)
	}
	if e.Err != nil {
		return nil
	}
	if e.Record.ID != call.Job || e.Record.Spec.Account != Tenant {
		return fmt.Errorf("request %d for job %s was answered with job %s", e.Request, call.Job, e.Record.ID)
	}
	if !e.Record.State.Final() {
		return nil
	}
	if e.Record.State == job.StateDone && !e.Record.Answer.Matches(Output(call.Job, 0)) {
		return fmt.Errorf("request %d got a wrong answer", e.Request)
	}
	if before, ok := c.reported[call.Job]; ok && before.State != e.Record.State && !c.mayChange(before) {
		return fmt.Errorf("job %s was reported as %s and then as %s", call.Job, before.State, e.Record.State)
	}
	c.reported[call.Job] = e.Record
	if _, ok := c.firstDuringFault[call.Job]; !ok && c.region.Store.FaultyWithin(StoreGrace) {
		c.firstDuringFault[call.Job] = pastReply{call: call, at: c.region.Elapsed(), duringFault: true}
	}
	return c.checkNotRun(call, e.Record.Ran)
}

// mayChange reports whether a record that was reported during a fault of the store may
// differ from later ones. It may have been lost if the gate that reported it has
// restarted since, and a refusal may be superseded if a caller submitted the job
// again.
func (c *Checker) mayChange(before job.Record) bool {
	first, ok := c.firstDuringFault[before.ID]
	switch {
	case !ok:
		return false
	case first.call.Gate.Incarnation() != first.call.GateIncarnation:
		return true
	case before.State == job.StateRefused && before.Ran == job.NotRun:
		return c.resubmitted(first)
	default:
		return false
	}
}

// checkNotRun records a reply that says that a job did not run, and checks that the job
// was never started. It ignores other replies.
func (c *Checker) checkNotRun(call *Call, ran job.RunStatus) error {
	if ran != job.NotRun {
		return nil
	}
	c.notRun[call.Job] = pastReply{
		call:        call,
		at:          c.region.Elapsed(),
		duringFault: c.region.Store.FaultyWithin(StoreGrace),
	}
	if n := c.Starts(call.Job); n > 0 {
		return fmt.Errorf("request %d was answered that job %s did not run, but it was started %d times", call.Request, call.Job, n)
	}
	return nil
}

// resubmitted reports whether a caller submitted the job again after a reply that was
// given during a fault of the store. Then the job may run after all.
func (c *Checker) resubmitted(reply pastReply) bool {
	if !reply.duringFault {
		return false
	}
	for _, call := range c.region.Callers.Calls {
		if call.Job == reply.call.Job && call.Spec.Account != "" && call.SentAt >= reply.at {
			return true
		}
	}
	return false
}
