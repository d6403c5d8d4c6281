package lab

import (
	"errors"
	"fmt"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
)

// checkReply checks that a caller gets its own whole answer, that what it is
// told agrees with what was told before, and that "not run" is true.
func (l *Ledger) checkReply(e gate.Reply) error {
	call := l.region.Callers.byID[e.Request]
	var unavailable *gate.UnavailableError
	if errors.As(e.Err, &unavailable) {
		return l.checkNotRun(call, unavailable.Ran)
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
	if e.Record.State == job.StateDone && !e.Record.Answer.Whole(Output(call.Job, 0)) {
		return fmt.Errorf("request %d got a wrong answer", e.Request)
	}
	if before, ok := l.told[call.Job]; ok && before.State != e.Record.State && !l.forgotten(before) {
		return fmt.Errorf("job %s was told as %s and as %s", call.Job, before.State, e.Record.State)
	}
	l.told[call.Job] = e.Record
	if _, ok := l.unsure[call.Job]; !ok && l.region.Store.FaultyWithin(StoreGrace) {
		l.unsure[call.Job] = refusal{call: call, told: l.region.Elapsed(), outage: true}
	}
	return l.checkNotRun(call, e.Record.Ran)
}

// forgotten reports whether what was told while the store was away may have been
// lost with the processes that knew it, among them the gate that told it, or is a
// refusal that the caller did not take for an end.
func (l *Ledger) forgotten(before job.Record) bool {
	first, ok := l.unsure[before.ID]
	switch {
	case !ok:
		return false
	case first.call.Gate.Life() != first.call.Life:
		return true
	case before.State == job.StateRefused && before.Ran == job.NotRun:
		return l.resubmitted(first)
	default:
		return false
	}
}

func (l *Ledger) checkNotRun(call *Call, ran job.Ran) error {
	if ran != job.NotRun {
		return nil
	}
	l.notRun[call.Job] = refusal{
		call:   call,
		told:   l.region.Elapsed(),
		outage: l.region.Store.FaultyWithin(StoreGrace),
	}
	if n := l.Starts(call.Job); n > 0 {
		return fmt.Errorf("request %d was told that job %s did not run, but it did %d times", call.Request, call.Job, n)
	}
	return nil
}

// resubmitted reports whether a caller asked anew for a job after a refusal that
// was given while the store was away: then the job may run after all.
func (l *Ledger) resubmitted(told refusal) bool {
	if !told.outage {
		return false
	}
	for _, c := range l.region.Callers.Calls {
		if c.Job == told.call.Job && c.Spec.Account != "" && c.Asked >= told.told {
			return true
		}
	}
	return false
}
