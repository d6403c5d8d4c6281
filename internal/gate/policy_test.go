package gate_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// scriptedPolicy wraps a policy. At the time decideAt it adds the decisions,
// once, to those of the wrapped policy; decidedAt is when it did so. It records
// the outcomes and the power draws that the leader reports, and attributes
// the failures to the job after exhaustedAfter outcomes.
type scriptedPolicy struct {
	scheduler.Policy
	decideAt       time.Time
	decisions      []scheduler.Decision
	decidedAt      time.Time
	outcomes       []scheduler.Outcome
	exhaustedAfter int
	powerDraws     []floor.Watts
}

// newScriptedPolicy returns a scriptedPolicy around the first-fit baseline.
func newScriptedPolicy() *scriptedPolicy {
	return &scriptedPolicy{Policy: baseline.NewFirstFit()}
}

// Exhausted attributes the failures to the job once exhaustedAfter outcomes were
// recorded. It never does if exhaustedAfter is zero.
func (s *scriptedPolicy) Exhausted(job.ID) bool {
	return s.exhaustedAfter > 0 && len(s.outcomes) >= s.exhaustedAfter
}

func (s *scriptedPolicy) Decide(now time.Time) []scheduler.Decision {
	decisions := s.Policy.Decide(now)
	if !s.decideAt.IsZero() && !now.Before(s.decideAt) {
		decisions = append(decisions, s.decisions...)
		s.decideAt = time.Time{}
		s.decidedAt = now
	}
	return decisions
}

func (s *scriptedPolicy) Wake() time.Time { return s.decideAt }

func (s *scriptedPolicy) Requeue(now time.Time, id job.ID, outcome scheduler.Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.Policy.Requeue(now, id, outcome)
}

func (s *scriptedPolicy) ReportDraw(at time.Time, id floor.WorkerID, draw floor.Watts) {
	s.powerDraws = append(s.powerDraws, draw)
	s.Policy.ReportDraw(at, id, draw)
}

// TestPolicyDecisions has a policy throttle a gang and then reclaim it, each at
// a time that the policy sets. The leader must ask the policy for the decision
// to throttle within a tick of its time and pass on the power draw that a
// runner reports. The agents must throttle and stop the tasks, and the job must
// then run again.
func TestPolicyDecisions(t *testing.T) {
	const grace = 20 * time.Second
	policy := newScriptedPolicy()
	r, checker := readyRegion(t, 1, 1, 3, gate.WithPolicy(func() scheduler.Policy { return policy }))
	call := r.Callers.Submit(r.Gates[0], "gang", lab.SpecOf(2, true, time.Minute), 10*time.Minute)
	runUntil(t, r, 5*time.Second, func() bool { return runningTasks(r) == 2 })
	var stops []agent.StopTask
	throttles := 0
	r.AddCheck(func(step lab.Step) error {
		for _, effect := range step.Effects {
			switch e := effect.(type) {
			case agent.StopTask:
				stops = append(stops, e)
			case agent.ThrottleTask:
				throttles++
			}
		}
		return nil
	})
	policy.decisions = []scheduler.Decision{
		scheduler.Throttle{Job: call.Job, Slow: true},
	}
	policy.decideAt = r.Gates[0].Now().Add(3200 * time.Millisecond)
	due := policy.decideAt
	r.Runners[0].Process.Post(agent.RunnerStatus{PowerDraw: 300})
	run(t, r, 10*time.Second)
	if late := policy.decidedAt.Sub(due); late < 0 || late > gate.DefaultTickInterval {
		t.Errorf("the policy decided %v after the time it set", late)
	}
	if throttles < 2 {
		t.Errorf("%d orders to throttle were carried out, want at least 2", throttles)
	}
	if !slices.Contains(policy.powerDraws, 300) {
		t.Errorf("power draws: got %v, want one of 300 W", policy.powerDraws)
	}
	policy.decisions = []scheduler.Decision{scheduler.Reclaim{Job: call.Job, Grace: grace, Checkpoint: true}}
	policy.decideAt = r.Gates[0].Now()
	run(t, r, 10*time.Second)
	if len(stops) != 2 || !stops[0].Checkpoint || stops[0].Grace != grace {
		t.Errorf("stops: got %+v, want 2 with a checkpoint", stops)
	}
	runUntil(t, r, 3*time.Minute, func() bool { return call.Reply != nil })
	if call.Reply.Record.State != job.StateDone || checker.Starts(call.Job) != 2 {
		t.Errorf("%d starts, got %+v", checker.Starts(call.Job), call.Reply)
	}
}

// TestFailingJob submits a job whose tasks always fail. It must be started
// until the policy attributes the failures to the job, and at most
// gate.DefaultMaxFailures times. The limits allow for the growing back-off
// between the starts. The policy must be sent every failure with the worker that
// it happened on, which the test checks for the first one.
func TestFailingJob(t *testing.T) {
	tests := []struct {
		name            string
		attributedAfter int
		wantStarts      int
		limit           time.Duration
	}{
		{"failures attributed to the job", 3, 3, time.Minute},
		{"cause unknown", 0, gate.DefaultMaxFailures, 5 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := newScriptedPolicy()
			policy.exhaustedAfter = test.attributedAfter
			r, checker := readyRegion(t, 1, 1, 3, gate.WithPolicy(func() scheduler.Policy { return policy }))
			spec := lab.SpecOf(1, true, time.Second)
			spec.Input = []byte("fail")
			call := r.Callers.Submit(r.Gates[0], "failing", spec, 10*time.Minute)
			runUntil(t, r, test.limit, func() bool { return call.Reply != nil })
			if call.Reply.Record.State != job.StateFailed || call.Reply.Record.Ran != job.MayHaveRun {
				t.Errorf("got %+v", call.Reply)
			}
			if starts := checker.Starts(call.Job); starts != test.wantStarts {
				t.Errorf("the job was started %d times", starts)
			}
			if len(policy.outcomes) != test.wantStarts || policy.outcomes[0].FailedOn == "" || !policy.outcomes[0].Failed {
				t.Errorf("outcomes: got %+v", policy.outcomes)
			}
		})
	}
}

// TestRequestLimit opens more requests than one account may have open at a
// gate. Those above the limit must be refused at once, and every request must
// be answered.
func TestRequestLimit(t *testing.T) {
	const limit, share = 100, 0.5
	r, _ := readyRegion(t, 1, 2, 2, gate.WithRequests(limit, share))
	run(t, r, time.Second)
	refused := 0
	for i := range 2 * limit {
		r.Callers.Submit(r.Gates[0], fmt.Sprint(i), lab.SpecOf(1, true, time.Hour), time.Minute)
	}
	run(t, r, 100*time.Millisecond)
	for _, call := range r.Callers.Calls {
		var unavailable *gate.UnavailableError
		if call.Reply != nil && errors.As(call.Reply.Err, &unavailable) && unavailable.Ran == job.MayHaveRun {
			refused++
		}
	}
	if want := 2*limit - limit/2; refused != want {
		t.Errorf("%d requests were refused, want %d", refused, want)
	}
	run(t, r, 2*time.Minute)
	for _, call := range r.Callers.Calls {
		if call.Reply == nil {
			t.Errorf("request %d has no reply", call.Request)
		}
	}
}
