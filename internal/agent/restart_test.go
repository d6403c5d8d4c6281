package agent_test

import (
	"testing"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// TestSilentBeforeStart checks that the agent sends nothing before it knows the tasks of
// its runner.
func TestSilentBeforeStart(t *testing.T) {
	a := agent.New(worker, []machine.Node{leader}, agent.WithIncarnation(incarnation))
	now := newHarness(t).now
	for _, event := range []machine.Event{machine.Tick{}, machine.Message{From: leader, Body: wire.Fence{Epoch: 9}}} {
		if effects := a.Step(now, event); len(effects) > 0 {
			t.Errorf("%T before the start: %v", event, effects)
		}
	}
}

// TestAdopt checks that tasks of a former incarnation are taken over: they keep their
// shares, are not started again, and their results are delivered.
func TestAdopt(t *testing.T) {
	h := newHarness(t, agent.RunnerTask{Task: taskID, Share: share, Peers: peers})
	expect(h, agent.FollowTask{Task: taskID, Peers: peers})
	holding := take[wire.HeldTasks](h)
	if len(holding) != 1 || len(holding[0].Tasks) != 1 || holding[0].Tasks[0].Phase != wire.PhaseRunning {
		t.Fatalf("holds %+v", holding)
	}
	h.deliver(wire.Run{Order: order, Task: taskID})
	expect(h, wire.Running{Epoch: 3, Task: taskID})
	h.deliver(wire.Reserve{Order: order, Task: wire.TaskID{Job: "other"}, Share: share})
	expect(h, wire.Reserved{Epoch: 3, Task: wire.TaskID{Job: "other"}, Reason: "the share is not free"})
	h.pass(30*second, h.heartbeats)
	expect[agent.StopTask](h)
	h.step(agent.TaskEnded{Task: taskID, Result: wire.Result{Reason: "whole"}})
	expect(h, wire.Ended{Epoch: 3, Task: taskID, Result: wire.Result{Reason: "whole"}})
	expect[agent.RunTask](h)
}

// TestAdoptedGang checks that an adopted task is stopped if its gang is gone.
func TestAdoptedGang(t *testing.T) {
	h := newHarness(t, agent.RunnerTask{Task: taskID, Share: share, Peers: peers})
	h.pass(15*second, nil)
	expect(h, agent.StopTask{Task: taskID})
}

// TestAdoptedEpoch checks that a leader older than the adopted tasks is rejected.
func TestAdoptedEpoch(t *testing.T) {
	h := newHarness(t, agent.RunnerTask{Task: wire.TaskID{Job: "j", Epoch: 8}, Share: share})
	expect[wire.HeldTasks](h)
}

// TestFormerIncarnation checks that orders to a former incarnation are rejected: its
// tombstones are lost, so that they might start a task that was stopped.
func TestFormerIncarnation(t *testing.T) {
	former := wire.Order{Epoch: 3, Incarnation: incarnation - 1}
	h := newHarness(t)
	h.deliver(wire.Reserve{Order: former, Task: taskID, Share: share})
	h.deliver(wire.Run{Order: former, Task: taskID})
	h.deliver(wire.Run{Order: order, Task: taskID})
	expect[agent.RunTask](h)
	expect(h, wire.UnsolicitedStop{Epoch: 3, Task: taskID, Reason: "the agent does not have the task"})
	h = running(t)
	h.deliver(wire.Stop{Order: former, Task: taskID})
	expect[agent.StopTask](h)
}

// TestOlderLeader checks that an agent without contact to its leader goes on asking
// another gate that redirects to a former leader.
func TestOlderLeader(t *testing.T) {
	h := newHarness(t)
	h.agent = agent.New(worker, []machine.Node{leader, "gate-2"}, agent.WithIncarnation(incarnation))
	h.step(agent.Start{})
	h.deliver(wire.Fence{Epoch: order.Epoch})
	h.effects = nil
	h.pass(20*second, func() {
		h.step(machine.Message{From: "gate-2", Body: wire.Redirect{Leader: "gate-2", Epoch: order.Epoch - 1}})
	})
	elsewhere := 0
	for _, effect := range h.effects {
		if send, ok := effect.(machine.Send); ok && send.To == "gate-2" {
			elsewhere++
		}
	}
	if elsewhere < 3 {
		t.Errorf("the other gate was asked %d times, want at least 3", elsewhere)
	}
}

// TestFenceForFormerIncarnation guards against an agent that answers a fence meant for its predecessor.
func TestFenceForFormerIncarnation(t *testing.T) {
	h := newHarness(t)
	h.effects = nil
	h.deliver(wire.Fence{Epoch: order.Epoch + 1, Number: 9, Incarnation: incarnation - 1})
	expect[wire.HeldTasks](h)
	h.deliver(wire.Reserve{Order: order, Task: taskID, Share: share})
	expect(h, wire.Reserved{Epoch: 3, Task: taskID})
	h.deliver(wire.Fence{Epoch: order.Epoch + 1, Number: 10, Incarnation: incarnation})
	if lists := take[wire.HeldTasks](h); len(lists) != 1 || lists[0].Fence != 10 {
		t.Errorf("got lists %+v, want one that answers fence 10", lists)
	}
}

// TestStaleOrdersAfterPause guards against an agent that carries out orders from before a pause.
func TestStaleOrdersAfterPause(t *testing.T) {
	h := reserved(t)
	h.now = h.now.Add(20 * second)
	h.deliver(wire.Run{Order: order, Task: taskID})
	h.deliver(wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{{Task: taskID, From: 1, State: gang.Running}}})
	other := wire.TaskID{Job: "other", Attempt: 1, Epoch: 3}
	h.deliver(wire.Reserve{Order: order, Task: other, Share: share})
	h.deliver(wire.Run{Order: order, Task: other})
	expect[agent.RunTask](h)
	h.deliver(wire.Fence{Epoch: order.Epoch, Number: 1, Incarnation: incarnation})
	if lists := take[wire.HeldTasks](h); len(lists) != 1 {
		t.Errorf("got lists %+v, want only the one before the pause", lists)
	}

	h = running(t)
	h.effects = nil
	h.now = h.now.Add(20 * second)
	h.deliver(wire.Fence{Epoch: order.Epoch})
	lists := take[wire.HeldTasks](h)
	if len(lists) != 1 || lists[0].Incarnation == incarnation || len(lists[0].Tasks) != 1 || lists[0].Tasks[0].Phase != wire.PhaseRunning {
		t.Errorf("got lists %+v, want the running task under another incarnation", lists)
	}
}
