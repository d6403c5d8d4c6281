package agent_test

import (
	"testing"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestSilentBeforeStart announces nothing before the runner's tasks are known.
func TestSilentBeforeStart(t *testing.T) {
	a := agent.New(worker, []machine.Node{leader}, agent.WithIncarnation(incarnation))
	now := newBench(t).now
	for _, event := range []machine.Event{machine.Tick{}, machine.Message{From: leader, Body: wire.Fence{Epoch: 9}}} {
		if effects := a.Step(now, event); len(effects) > 0 {
			t.Errorf("%T before the start: %v", event, effects)
		}
	}
}

// TestAdopt takes over the tasks of a former life: they are held, not started
// again, and their results are delivered.
func TestAdopt(t *testing.T) {
	b := newBench(t, agent.RunnerTask{Task: taskID, Share: share, Peers: peers})
	expect(b, agent.FollowTask{Task: taskID, Peers: peers})
	holding := take[wire.Holding](b)
	if len(holding) != 1 || len(holding[0].Tasks) != 1 || holding[0].Tasks[0].Phase != wire.PhaseRunning {
		t.Fatalf("holds %+v", holding)
	}
	b.order(wire.Run{Order: order, Task: taskID})
	expect(b, wire.Running{Epoch: 3, Task: taskID})
	b.order(wire.Reserve{Order: order, Task: wire.TaskID{Job: "other"}, Share: share})
	expect(b, wire.Reserved{Epoch: 3, Task: wire.TaskID{Job: "other"}, Reason: "the share is not free"})
	b.pass(30*second, b.beats)
	expect[agent.StopTask](b)
	b.step(agent.TaskEnded{Task: taskID, Result: wire.Result{Reason: "whole"}})
	expect(b, wire.Ended{Epoch: 3, Task: taskID, Result: wire.Result{Reason: "whole"}})
	expect[agent.RunTask](b)
}

// TestAdoptedGang stops an adopted task whose gang is gone.
func TestAdoptedGang(t *testing.T) {
	b := newBench(t, agent.RunnerTask{Task: taskID, Share: share, Peers: peers})
	b.pass(15*second, nil)
	expect(b, agent.StopTask{Task: taskID})
}

// TestAdoptedEpoch refuses a leader older than the tasks that are adopted.
func TestAdoptedEpoch(t *testing.T) {
	b := newBench(t, agent.RunnerTask{Task: wire.TaskID{Job: "j", Epoch: 8}, Share: share})
	expect[wire.Holding](b)
}

// TestFormerIncarnation refuses orders to a former life, whose tombstones are
// lost.
func TestFormerIncarnation(t *testing.T) {
	former := wire.Order{Epoch: 3, Incarnation: incarnation - 1}
	b := newBench(t)
	b.order(wire.Reserve{Order: former, Task: taskID, Share: share})
	b.order(wire.Run{Order: former, Task: taskID})
	b.order(wire.Run{Order: order, Task: taskID})
	expect[agent.RunTask](b)
	expect(b, wire.Halted{Epoch: 3, Task: taskID, Reason: "the task is not held"})
	b = running(t)
	b.order(wire.Stop{Order: former, Task: taskID})
	expect[agent.StopTask](b)
}

// TestOlderLeader looks for its leader elsewhere though a former leader answers.
func TestOlderLeader(t *testing.T) {
	b := newBench(t)
	b.agent = agent.New(worker, []machine.Node{leader, "gate-2"}, agent.WithIncarnation(incarnation))
	b.step(agent.Start{})
	b.order(wire.Fence{Epoch: order.Epoch})
	b.effects = nil
	b.pass(20*second, func() {
		b.step(machine.Message{From: "gate-2", Body: wire.Redirect{Leader: "gate-2", Epoch: order.Epoch - 1}})
	})
	elsewhere := 0
	for _, effect := range b.effects {
		if send, ok := effect.(machine.Send); ok && send.To == "gate-2" {
			elsewhere++
		}
	}
	if elsewhere < 3 {
		t.Errorf("it asks another gate %d times", elsewhere)
	}
}
