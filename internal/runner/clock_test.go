package runner_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
)

// slowClock is the share of the time that a runner's clock may count, as the runner
// protocol allows.
const slowClock = 0.98

// slowRunner answers the calls of an agent by a slow clock and remembers the lease.
type slowRunner struct {
	*harness
	began time.Time
	seq   uint64
	lease runner.Clock
}

// newSlowRunner returns a runner that has listed that it has no tasks, and the agent's next report.
func newSlowRunner(t *testing.T) (*slowRunner, runner.Send) {
	t.Helper()
	s := &slowRunner{harness: newHarness(t)}
	s.began = s.now
	s.sendHeartbeat(0)
	s.sendOrders(must[runner.Send](s.harness), nil)
	s.sendList(must[runner.RenewLease](s.harness))
	return s, must[runner.Send](s.harness)
}

func (s *slowRunner) clock() runner.Clock {
	return 5000 + runner.Clock(float64(s.now.Sub(s.began).Milliseconds())*slowClock)
}

// sendHeartbeat sends the runner's next heartbeat. Its clock was read delay ago.
func (s *slowRunner) sendHeartbeat(delay time.Duration) {
	s.seq++
	read := s.clock() - runner.Clock(float64(delay.Milliseconds())*slowClock)
	s.step(runner.Heartbeat{Runner: control.Runner{ID: self, Pool: "p"}, Seq: s.seq, Clock: read})
}

// runStart accepts the start among the effects of the last step, answers the renewal
// that goes with it, and records the lease that these and the next renewal ask for.
func (s *slowRunner) runStart() {
	s.t.Helper()
	call, renewal := must[runner.StartTask](s.harness), must[runner.RenewLease](s.harness)
	s.step(runner.StartResult{Call: call, Answer: runner.Accepted})
	listed := control.Task{ID: call.Start.Task, Run: call.Start.Run, Phase: control.Running}
	s.step(runner.RenewLeaseResult{Call: renewal, Answer: runner.Accepted, Clock: s.clock(), Tasks: []control.Task{listed}})
	s.lease = max(call.Until, renewal.Until, must[runner.RenewLease](s.harness).Until)
}

// TestLeaseAfterIdleTime guards against a lease that outlasts the hold since the runner's clock is slow.
func TestLeaseAfterIdleTime(t *testing.T) {
	const hold = 6 * time.Second
	for _, idle := range []time.Duration{0, 10 * time.Second, 80 * time.Second, 300 * time.Second, time.Hour} {
		s, report := newSlowRunner(t)
		for end := s.now.Add(idle); s.now.Before(end); {
			s.sendOrders(report, nil)
			s.wait(time.Second)
			s.sendHeartbeat(50 * time.Millisecond)
		}
		report.Sent = s.now
		s.sendOrders(report, func(o *control.Orders) { o.Starts = []control.Start{start(1)} })
		s.runStart()
		if limit := s.clock() + runner.Clock(hold.Milliseconds()); s.lease > limit {
			t.Errorf("idle %s: the lease ends %d ms by the runner's clock after the hold time of the orders", idle, s.lease-limit)
		} else if s.lease < limit-200 {
			t.Errorf("idle %s: the lease ends %d ms by the runner's clock before the hold time of the orders", idle, limit-s.lease)
		}
	}
}
