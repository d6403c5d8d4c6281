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

// scripted is a policy that takes further decisions at given times and notes what
// it is told.
type scripted struct {
	scheduler.Policy
	at        time.Time
	decisions []scheduler.Decision
	decided   time.Time
	outcomes  []scheduler.Outcome
	blame     int
	draws     []floor.Watts
}

func newScripted() *scripted {
	return &scripted{Policy: baseline.NewFirstFit()}
}

// Spent blames the job after a number of outcomes, if it is set.
func (s *scripted) Spent(job.ID) bool {
	return s.blame > 0 && len(s.outcomes) >= s.blame
}

func (s *scripted) Decide(now time.Time) []scheduler.Decision {
	decisions := s.Policy.Decide(now)
	if !s.at.IsZero() && !now.Before(s.at) {
		decisions = append(decisions, s.decisions...)
		s.at = time.Time{}
		s.decided = now
	}
	return decisions
}

func (s *scripted) Wake() time.Time { return s.at }

func (s *scripted) Requeue(now time.Time, id job.ID, outcome scheduler.Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.Policy.Requeue(now, id, outcome)
}

func (s *scripted) Report(at time.Time, id floor.WorkerID, draw floor.Watts) {
	s.draws = append(s.draws, draw)
	s.Policy.Report(at, id, draw)
}

// TestDecisions has a policy throttle and reclaim a gang at a time of its own, and
// looks that the agents are told so and that the job runs again.
func TestDecisions(t *testing.T) {
	const grace = 20 * time.Second
	policy := newScripted()
	r, ledger := ready(t, 1, 1, 3, gate.WithPolicy(func() scheduler.Policy { return policy }))
	call := r.Callers.Submit(r.Gates[0], "gang", lab.SpecOf(2, true, time.Minute), 10*time.Minute)
	until(t, r, 5*time.Second, func() bool { return computing(r) == 2 })
	var stops []agent.StopTask
	slowed := 0
	r.Watch(func(trace lab.Trace) error {
		for _, effect := range trace.Effects {
			switch e := effect.(type) {
			case agent.StopTask:
				stops = append(stops, e)
			case agent.ThrottleTask:
				slowed++
			}
		}
		return nil
	})
	policy.decisions = []scheduler.Decision{
		scheduler.Throttle{Job: call.Job, Slow: true},
	}
	policy.at = r.Gates[0].Now().Add(3200 * time.Millisecond)
	wanted := policy.at
	r.Runners[0].Process.Post(agent.Usage{Draw: 300})
	run(t, r, 10*time.Second)
	if late := policy.decided.Sub(wanted); late < 0 || late > gate.DefaultTick {
		t.Errorf("the policy decided %v after its time", late)
	}
	if slowed < 2 {
		t.Errorf("%d members were slowed", slowed)
	}
	if !slices.Contains(policy.draws, 300) {
		t.Errorf("reports: got %v", policy.draws)
	}
	policy.decisions = []scheduler.Decision{scheduler.Reclaim{Job: call.Job, Grace: grace, Checkpoint: true}}
	policy.at = r.Gates[0].Now()
	run(t, r, 10*time.Second)
	if len(stops) != 2 || !stops[0].Checkpoint || stops[0].Grace != grace {
		t.Errorf("stops: got %+v", stops)
	}
	until(t, r, 3*time.Minute, func() bool { return call.Reply != nil })
	if call.Reply.Record.State != job.StateDone || ledger.Starts(call.Job) != 2 {
		t.Errorf("%d starts, got %+v", ledger.Starts(call.Job), call.Reply)
	}
}

// TestFailing submits a job whose tasks fail. It is started as often as the
// policy wants, or a bounded number of times, ever later, and the policy learns
// which worker to blame.
func TestFailing(t *testing.T) {
	tests := []struct {
		name   string
		spent  int
		starts int
		within time.Duration
	}{
		{"the job is to blame", 3, 3, time.Minute},
		{"nobody can tell", 0, gate.DefaultMaxFailures, 5 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := newScripted()
			policy.blame = test.spent
			r, ledger := ready(t, 1, 1, 3, gate.WithPolicy(func() scheduler.Policy { return policy }))
			spec := lab.SpecOf(1, true, time.Second)
			spec.Input = []byte("fail")
			call := r.Callers.Submit(r.Gates[0], "failing", spec, 10*time.Minute)
			until(t, r, test.within, func() bool { return call.Reply != nil })
			if call.Reply.Record.State != job.StateFailed || call.Reply.Record.Ran != job.MayHaveRun {
				t.Errorf("got %+v", call.Reply)
			}
			if n := ledger.Starts(call.Job); n != test.starts {
				t.Errorf("%d starts", n)
			}
			if len(policy.outcomes) != test.starts || policy.outcomes[0].Blamed == "" || !policy.outcomes[0].Failed {
				t.Errorf("outcomes: got %+v", policy.outcomes)
			}
		})
	}
}

// TestBounds opens more requests than one account may have, and looks that the
// others are refused at once, and that no more jobs are written than were asked.
func TestBounds(t *testing.T) {
	const limit, share = 100, 0.5
	r, _ := ready(t, 1, 2, 2, gate.WithRequests(limit, share))
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
