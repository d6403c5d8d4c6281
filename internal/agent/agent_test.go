package agent_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	leader      = machine.Node("gate-1")
	incarnation = wire.Incarnation(7)
	second      = time.Second
)

var (
	worker = floor.Worker{ID: "w-1", Region: "r", Accelerators: 8, Cores: 32, Memory: 1024, Slots: 8}
	share  = floor.Allocation{Worker: "w-1", Accelerators: 1, Cores: 1}
	peers  = []machine.Node{"agent-1", "agent-2", "agent-3"}
	order  = wire.Order{Epoch: 3, Incarnation: incarnation}
	taskID = wire.TaskID{Job: "j", Attempt: 2, Epoch: 3}
)

// harness drives one agent and collects its effects.
type harness struct {
	t       *testing.T
	agent   *agent.Agent
	now     time.Time
	effects []machine.Effect
}

// newHarness returns an agent that has received a leader's fence.
func newHarness(t *testing.T, tasks ...agent.RunnerTask) *harness {
	h := &harness{t: t, now: time.Unix(1_000_000, 0)}
	h.agent = agent.New(worker, []machine.Node{leader}, agent.WithIncarnation(incarnation))
	h.step(agent.Start{Tasks: tasks})
	h.deliver(wire.Fence{Epoch: order.Epoch})
	return h
}

func (h *harness) step(event machine.Event) {
	h.effects = append(h.effects, h.agent.Step(h.now, event)...)
}

func (h *harness) deliver(body any) {
	h.step(machine.Message{From: leader, Body: body})
}

// pass advances the time in steps of a second. It calls each, if not nil, before each
// tick.
func (h *harness) pass(duration time.Duration, each func()) {
	for end := h.now.Add(duration); h.now.Before(end); {
		h.now = h.now.Add(second)
		if each != nil {
			each()
		}
		h.step(machine.Tick{})
	}
}

// reserved returns an agent with a reservation for a member of a gang of three.
func reserved(t *testing.T) *harness {
	h := newHarness(t)
	h.deliver(wire.Reserve{Order: order, Task: taskID, Share: share, Peers: peers})
	return h
}

// running returns an agent that runs a member of a gang of three.
func running(t *testing.T) *harness {
	h := reserved(t)
	h.deliver(wire.Run{Order: order, Task: taskID})
	if len(take[agent.RunTask](h)) != 1 {
		t.Fatal("the task was not started")
	}
	return h
}

// heartbeats delivers heartbeats of both other members of the gang.
func (h *harness) heartbeats() {
	for _, rank := range []job.Rank{1, 2} {
		heartbeat := wire.GangHeartbeat{Task: taskID, From: rank, State: 1}
		h.step(machine.Message{From: peers[rank], Body: wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{heartbeat}}})
	}
}

// take removes and returns the collected effects, or the bodies of sent messages, that
// are of type T.
func take[T any](h *harness) []T {
	var found []T
	var rest []machine.Effect
	for _, effect := range h.effects {
		var value any = effect
		if send, ok := effect.(machine.Send); ok {
			value = send.Body
		}
		if v, ok := value.(T); ok {
			found = append(found, v)
		} else {
			rest = append(rest, effect)
		}
	}
	h.effects = rest
	return found
}

// expect checks that take returns the wanted effects or bodies.
func expect[T any](h *harness, want ...T) {
	h.t.Helper()
	got := take[T](h)
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		h.t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestStop stops a running task with a grace period. A repeated order does nothing and
// a broken gang does not shorten the grace period, but an order with a shorter one
// does.
func TestStop(t *testing.T) {
	h := running(t)
	h.deliver(wire.Stop{Order: order, Task: taskID, Checkpoint: true, Grace: 30 * second})
	expect(h, agent.StopTask{Task: taskID, Checkpoint: true, Grace: 30 * second})
	h.deliver(wire.Stop{Order: order, Task: taskID, Checkpoint: true, Grace: 30 * second})
	h.pass(20*second, nil)
	expect[agent.StopTask](h)
	h.deliver(wire.Stop{Order: order, Task: taskID})
	expect(h, agent.StopTask{Task: taskID})
	expect[wire.Stopped](h)
	h.step(agent.TaskStopped{Task: taskID})
	expect(h, wire.Stopped{Epoch: 3, Task: taskID, Ran: true})
	h.deliver(wire.Run{Order: order, Task: taskID})
	h.deliver(wire.Reserve{Order: order, Task: taskID, Share: share, Peers: peers})
	h.deliver(wire.Run{Order: order, Task: taskID})
	expect[agent.RunTask](h)
}

// TestShareHeldUntilStopped checks that a share is not free before its task has stopped.
func TestShareHeldUntilStopped(t *testing.T) {
	h := running(t)
	other := wire.TaskID{Job: "other", Attempt: 1, Epoch: 3}
	h.deliver(wire.Stop{Order: order, Task: taskID})
	h.deliver(wire.Reserve{Order: order, Task: other, Share: share})
	expect(h, wire.Reserved{Epoch: 3, Task: taskID}, wire.Reserved{Epoch: 3, Task: other, Reason: "the share is not free"})
	h.step(agent.TaskStopped{Task: taskID})
	h.deliver(wire.Reserve{Order: order, Task: other, Share: share})
	expect(h, wire.Reserved{Epoch: 3, Task: other})
}

// TestThrottle checks that a running task is throttled and a reservation is not.
func TestThrottle(t *testing.T) {
	h := reserved(t)
	h.deliver(wire.Throttle{Order: order, Task: taskID, Slow: true})
	expect[agent.ThrottleTask](h)
	h.deliver(wire.Run{Order: order, Task: taskID})
	h.deliver(wire.Throttle{Order: order, Task: taskID, Slow: true})
	expect(h, agent.ThrottleTask{Task: taskID, Slow: true})
}

// TestUsage checks that the agent announces the power draw that the runner reports, and
// drains when the runner does.
func TestUsage(t *testing.T) {
	h := newHarness(t)
	h.step(agent.RunnerStatus{PowerDraw: 900})
	h.pass(2*second, nil)
	take[agent.DrainDone](h)
	sent := take[wire.Announce](h)
	if last := sent[len(sent)-1]; last.PowerDraw != 900 || last.Draining {
		t.Errorf("announced %+v", last)
	}
	h.step(agent.RunnerStatus{PowerDraw: 900, Draining: true})
	if sent := take[wire.Announce](h); len(sent) != 1 || !sent[0].Draining {
		t.Errorf("announced %+v at once", sent)
	}
	h.deliver(wire.Reserve{Order: order, Task: taskID, Share: share})
	expect(h, wire.Reserved{Epoch: 3, Task: taskID, Reason: "the upstream is leaving"})
	expect(h, agent.DrainDone{})
}

// TestDrain checks that nothing starts after the drain grace, even if a leader that
// missed the announcement orders it, and that running tasks go on until they end.
func TestDrain(t *testing.T) {
	h := running(t)
	late := wire.TaskID{Job: "late", Attempt: 1, Epoch: 3}
	h.deliver(wire.Reserve{Order: order, Task: late, Share: floor.Allocation{Worker: "w-1", Accelerators: 2}, Peers: peers})
	h.step(agent.Drain{})
	take[wire.UnsolicitedStop](h)
	h.now = h.now.Add(agent.DefaultDrainGrace)
	h.deliver(wire.Run{Order: order, Task: late})
	expect[agent.RunTask](h)
	expect(h, wire.UnsolicitedStop{Epoch: 3, Task: late, Reason: "the upstream is leaving"})
	expect[agent.StopTask](h)
	expect[agent.DrainDone](h)
	h.step(agent.TaskEnded{Task: taskID})
	expect[agent.DrainDone](h)
	h.deliver(wire.OutcomeDurable{Order: order, Task: taskID})
	expect(h, agent.DrainDone{})
}

// TestDrainReserved checks that a draining agent withdraws a reservation without an order
// to run within the drain grace, and starts one with such an order.
func TestDrainReserved(t *testing.T) {
	h := reserved(t)
	h.step(agent.Drain{})
	expect[agent.DrainDone](h)
	h.pass(agent.DefaultDrainGrace, nil)
	expect(h, wire.UnsolicitedStop{Epoch: 3, Task: taskID, Reason: "the upstream is leaving"})
	expect(h, agent.DrainDone{})
	h = reserved(t)
	h.step(agent.Drain{})
	h.deliver(wire.Run{Order: order, Task: taskID})
	if len(take[agent.RunTask](h)) != 1 {
		t.Error("the reservation made before the drain did not start")
	}
}
