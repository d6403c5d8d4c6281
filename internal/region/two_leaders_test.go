package region_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// site drives the cores of agents with a runner each against the cores of
	// successive leaders. The test decides which report reaches which leader, and when.
	site struct {
		*harness
		agents map[control.AgentID]*agent
	}

	// agent is the core of an agent and its runner, which carries out calls at once.
	agent struct {
		site *site
		id   control.AgentID
		core *runner.Core
		self control.Runner

		// sent are the reports, and renewals the renewals of the runner's lease, that
		// have not been answered.
		sent     []runner.Send
		renewals []runner.RenewLease
		leaseEnd runner.Clock
		running  []control.Task
		results  []control.Result

		heartbeats uint64
	}
)

func newSite(t *testing.T, agents ...control.AgentID) *site {
	t.Helper()
	s := &site{harness: newHarness(t), agents: make(map[control.AgentID]*agent)}
	for _, id := range agents {
		a := &agent{site: s, id: id, self: *s.newReport(id).Runner}
		s.agents[id] = a
		a.restart(1)
	}
	return s
}

// restart replaces the agent's process by another one, which hears from the runner at
// once. Reports of the former one stay in flight.
func (a *agent) restart(incarnation control.Incarnation) {
	a.restartAlone(incarnation)
	a.heartbeat()
}

// restartAlone is like restart without a heartbeat of the runner.
func (a *agent) restartAlone(incarnation control.Incarnation) {
	a.renewals = nil
	a.core = runner.New(a.id, incarnation, []machine.Node{"gate:1", "gate:2"})
}

func (a *agent) heartbeat() {
	a.heartbeats++
	a.step(runner.Heartbeat{Runner: a.self, Seq: a.heartbeats, Clock: a.clock()})
}

func (a *agent) clock() runner.Clock {
	return runner.Clock(a.site.now.UnixMilli())
}

// step applies an event and carries out the calls to the runner.
func (a *agent) step(event any) {
	for _, effect := range a.core.Step(a.site.now, event) {
		switch e := effect.(type) {
		case runner.Send:
			a.sent = append(a.sent, e)
		case runner.StartTask:
			a.leaseEnd = max(a.leaseEnd, e.Until)
			a.running = append(a.running, control.Task{ID: e.Start.Task, Run: e.Start.Run, Phase: control.Running})
			a.step(runner.StartResult{Call: e, Answer: runner.Accepted})
		case runner.StopTask:
			a.end(e.Stop.Task, control.Stopped)
			a.step(runner.StopResult{Call: e, Answer: runner.Accepted})
		case runner.RenewLease:
			a.renewals = append(a.renewals, e)
		}
	}
}

// tick lets time pass and has the runner answer the renewals of its lease.
func (a *agent) tick(d time.Duration) {
	a.site.now = a.site.now.Add(d)
	a.expire()
	renewals := a.renewals
	a.renewals = nil
	for _, call := range renewals {
		a.leaseEnd = max(a.leaseEnd, call.Until)
		a.step(runner.RenewLeaseResult{
			Call: call, Answer: runner.Accepted, Clock: a.clock(), Tasks: slices.Clone(a.running), Results: slices.Clone(a.results),
		})
	}
	a.step(runner.Tick{})
}

// expire ends all tasks at the runner if its lease has expired.
func (a *agent) expire() {
	for len(a.running) > 0 && a.clock() >= a.leaseEnd {
		a.end(a.running[0].ID, control.Expired)
	}
}

// end ends a task at the runner.
func (a *agent) end(id work.TaskID, outcome control.Outcome) {
	for i, t := range a.running {
		if t.ID == id {
			a.running = slices.Delete(a.running, i, i+1)
			a.results = append(a.results, control.Result{ID: control.ResultID(len(a.results) + 1), Task: id, Run: t.Run, Outcome: outcome})
			return
		}
	}
}

// take removes the oldest report that has not been answered.
func (a *agent) take() runner.Send {
	a.site.t.Helper()
	if len(a.sent) == 0 {
		a.site.t.Fatalf("agent %s has sent no report", a.id)
	}
	send := a.sent[0]
	a.sent = a.sent[1:]
	return send
}

// apply has a leader apply a report and returns its answer.
func (a *agent) apply(leader *region.Core, send runner.Send) runner.SendResult {
	leader.Report(a.site.now, send.Report)
	leader.Tick(a.site.now)
	return answer(send, leader.Orders(a.site.now, a.id, send.Report.Incarnation))
}

func answer(send runner.Send, orders control.Orders) runner.SendResult {
	return runner.SendResult{Call: send, Orders: orders}
}

// exchange lets a leader and the agents exchange a few messages without delay, and
// the leader write its records.
func (s *site) exchange(leader *region.Core, agents ...control.AgentID) {
	s.t.Helper()
	for range 6 {
		for _, id := range agents {
			a := s.agents[id]
			a.tick(time.Millisecond)
			for range len(a.sent) {
				a.step(a.apply(leader, a.take()))
			}
		}
		for batch := leader.Batch(); batch != nil; batch = leader.Batch() {
			version, err := s.table.Commit(context.Background(), batch.Txn)
			leader.BatchDone(batch, version, err)
		}
	}
}

// runsOf returns how many runners run a task.
func (s *site) runsOf(id work.TaskID) int {
	n := 0
	for _, a := range s.agents {
		a.expire()
		for _, t := range a.running {
			if t.ID == id {
				n++
			}
		}
	}
	return n
}

// TestListFromBeforeTakeover guards against a list that lacks a start of the former leader.
func TestListFromBeforeTakeover(t *testing.T) {
	s := newSite(t, "a", "b")
	former := s.core
	s.submit(gpuJob("j0", 1, 8))
	s.exchange(former, "a", "b")
	a, b := s.agents["a"], s.agents["b"]
	b.step(runner.SendResult{Call: b.take(), Err: context.DeadlineExceeded})
	b.tick(200 * time.Millisecond)
	answered := b.take()
	b.tick(200 * time.Millisecond)
	held := b.take()
	if answered.To == held.To {
		t.Fatalf("both reports went to %s", held.To)
	}
	s.submit(gpuJob("j1", 1, 8))
	b.tick(100 * time.Millisecond)
	b.step(b.apply(former, answered))
	if got := s.runsOf(taskOf("j1", 0)); got != 1 {
		t.Fatalf("%d runs ordered by the former leader, want 1", got)
	}
	b.sent = nil
	a.end(taskOf("j0", 0), control.Done)
	s.exchange(former, "a")
	b.tick(300 * time.Millisecond)
	s.lead(2)
	answer := b.apply(s.core, held)
	s.exchange(s.core, "a")
	if got := s.runsOf(taskOf("j1", 0)); got != 1 {
		t.Fatalf("%d concurrent runs of a task", got)
	}
	b.step(answer)
	s.exchange(s.core, "a", "b")
	if got := s.runsOf(taskOf("j1", 0)); got != 1 {
		t.Errorf("%d concurrent runs of a task after the agent's next list", got)
	}
	if state, _ := s.core.State("j1"); state != region.Running {
		t.Errorf("state %q, want the run to be adopted", state)
	}
}

// TestReportOfFormerProcess guards against a killed agent's report that replaces its successor's list.
func TestReportOfFormerProcess(t *testing.T) {
	s := newSite(t, "a", "b")
	s.submit(gpuJob("j0", 1, 8))
	s.exchange(s.core, "a", "b")
	a, b := s.agents["a"], s.agents["b"]
	delayed := b.take()
	b.sent = nil
	b.restart(2)
	s.exchange(s.core, "a", "b")
	s.submit(gpuJob("j1", 1, 8))
	s.exchange(s.core, "b")
	if got := s.runsOf(taskOf("j1", 0)); got != 1 || len(b.running) != 1 {
		t.Fatalf("%d runs, %d of them at the new process", got, len(b.running))
	}
	a.end(taskOf("j0", 0), control.Done)
	s.exchange(s.core, "a")
	b.apply(s.core, delayed)
	s.exchange(s.core, "a")
	if got := s.runsOf(taskOf("j1", 0)); got != 1 {
		t.Errorf("%d concurrent runs of a task", got)
	}
	s.exchange(s.core, "a", "b")
	if got := s.runsOf(taskOf("j1", 0)); got != 1 {
		t.Errorf("%d runs of the task later", got)
	}
}

// TestHoldBeforeList guards against answers that hold tasks which the new leader does not know.
func TestHoldBeforeList(t *testing.T) {
	s := newSite(t, "a", "b")
	s.submit(gpuJob("j0", 1, 8))
	s.submit(gpuJob("j1", 1, 8))
	s.exchange(s.core, "a", "b")
	a, b := s.agents["a"], s.agents["b"]
	task := b.running[0].ID
	a.end(a.running[0].ID, control.Done)
	s.exchange(s.core, "a", "b")
	s.lead(2)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.exchange(s.core, "a")
	}
	b.sent = nil
	b.restart(2)
	for range 2 {
		b.step(b.apply(s.core, b.take()))
	}
	for end := s.now.Add(slowestLease); s.now.Before(end); {
		b.tick(100 * time.Millisecond)
		s.exchange(s.core, "a")
		if got := s.runsOf(task); got > 1 {
			t.Fatalf("%d concurrent runs of a task", got)
		}
	}
	if got := s.runsOf(task); got != 1 {
		t.Errorf("%d runs of the task after the longest lease, want 1", got)
	}
}

// TestRunnerFoundBeforeAnswer guards against an answer that holds tasks of an agent without its runner.
func TestRunnerFoundBeforeAnswer(t *testing.T) {
	s := newSite(t, "a", "b")
	s.submit(gpuJob("j0", 1, 8))
	s.submit(gpuJob("j1", 1, 8))
	s.exchange(s.core, "a", "b")
	a, b := s.agents["a"], s.agents["b"]
	task := b.running[0].ID
	a.end(a.running[0].ID, control.Done)
	for range 3 {
		s.now = s.now.Add(time.Second)
		s.exchange(s.core, "a")
	}
	b.sent = nil
	b.restartAlone(2)
	b.step(runner.Tick{})
	b.step(b.apply(s.core, b.take()))
	answer := b.apply(s.core, b.take())
	b.heartbeat()
	b.step(answer)
	for end := s.now.Add(8 * time.Second); s.now.Before(end); {
		b.tick(100 * time.Millisecond)
		s.exchange(s.core, "a")
		if got := s.runsOf(task); got > 1 {
			t.Fatalf("%d concurrent runs of a task", got)
		}
	}
	if got := s.runsOf(task); got != 1 {
		t.Errorf("%d runs of the task after the hold, want 1", got)
	}
}
