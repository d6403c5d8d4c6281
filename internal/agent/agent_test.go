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
	share  = floor.Share{Worker: "w-1", Accelerators: 1, Cores: 1}
	peers  = []machine.Node{"agent-1", "agent-2", "agent-3"}
	order  = wire.Order{Epoch: 3, Incarnation: incarnation}
	taskID = wire.TaskID{Job: "j", Attempt: 2, Epoch: 3}
)

// bench drives one agent.
type bench struct {
	t       *testing.T
	agent   *agent.Agent
	now     time.Time
	effects []machine.Effect
}

// newBench returns an agent that a leader has fenced.
func newBench(t *testing.T, tasks ...agent.RunnerTask) *bench {
	b := &bench{t: t, now: time.Unix(1_000_000, 0)}
	b.agent = agent.New(worker, []machine.Node{leader}, agent.WithIncarnation(incarnation))
	b.step(agent.Start{Tasks: tasks})
	b.order(wire.Fence{Epoch: order.Epoch})
	return b
}

func (b *bench) step(event machine.Event) {
	b.effects = append(b.effects, b.agent.Step(b.now, event)...)
}

func (b *bench) order(body any) {
	b.step(machine.Message{From: leader, Body: body})
}

// pass lets time pass in seconds. Each is given to the function, if any.
func (b *bench) pass(duration time.Duration, each func()) {
	for end := b.now.Add(duration); b.now.Before(end); {
		b.now = b.now.Add(second)
		if each != nil {
			each()
		}
		b.step(machine.Tick{})
	}
}

// reserved returns an agent that holds a reservation of a gang of three.
func reserved(t *testing.T) *bench {
	b := newBench(t)
	b.order(wire.Reserve{Order: order, Task: taskID, Share: share, Peers: peers})
	return b
}

// running returns an agent that runs a member of a gang of three.
func running(t *testing.T) *bench {
	b := reserved(t)
	b.order(wire.Run{Order: order, Task: taskID})
	if len(take[agent.RunTask](b)) != 1 {
		t.Fatal("the task was not started")
	}
	return b
}

// beats delivers beats of both neighbours.
func (b *bench) beats() {
	for _, rank := range []job.Rank{1, 2} {
		pulse := wire.Pulse{Task: taskID, From: rank, State: 1}
		b.step(machine.Message{From: peers[rank], Body: wire.Beat{Pulses: []wire.Pulse{pulse}}})
	}
}

// take returns and removes the effects of a type, or the bodies sent of a type.
func take[T any](b *bench) []T {
	var found []T
	var rest []machine.Effect
	for _, effect := range b.effects {
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
	b.effects = rest
	return found
}

func expect[T any](b *bench, want ...T) {
	b.t.Helper()
	got := take[T](b)
	if len(got) == 0 && len(want) == 0 {
		return
	}
	if !reflect.DeepEqual(got, want) {
		b.t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestStop stops a running task with grace. A repeated order does nothing, a
// shorter grace does, and a broken gang does not shorten it.
func TestStop(t *testing.T) {
	b := running(t)
	b.order(wire.Stop{Order: order, Task: taskID, Checkpoint: true, Grace: 30 * second})
	expect(b, agent.StopTask{Task: taskID, Checkpoint: true, Grace: 30 * second})
	b.order(wire.Stop{Order: order, Task: taskID, Checkpoint: true, Grace: 30 * second})
	b.pass(20*second, nil)
	expect[agent.StopTask](b)
	b.order(wire.Stop{Order: order, Task: taskID})
	expect(b, agent.StopTask{Task: taskID})
	expect[wire.Stopped](b)
	b.step(agent.TaskStopped{Task: taskID})
	expect(b, wire.Stopped{Epoch: 3, Task: taskID, Ran: true})
	b.order(wire.Run{Order: order, Task: taskID})
	b.order(wire.Reserve{Order: order, Task: taskID, Share: share, Peers: peers})
	b.order(wire.Run{Order: order, Task: taskID})
	expect[agent.RunTask](b)
}

// TestShareHeldUntilStopped keeps a share from others until its task has
// stopped.
func TestShareHeldUntilStopped(t *testing.T) {
	b := running(t)
	other := wire.TaskID{Job: "other", Attempt: 1, Epoch: 3}
	b.order(wire.Stop{Order: order, Task: taskID})
	b.order(wire.Reserve{Order: order, Task: other, Share: share})
	expect(b, wire.Reserved{Epoch: 3, Task: taskID}, wire.Reserved{Epoch: 3, Task: other, Reason: "the share is not free"})
	b.step(agent.TaskStopped{Task: taskID})
	b.order(wire.Reserve{Order: order, Task: other, Share: share})
	expect(b, wire.Reserved{Epoch: 3, Task: other})
}

// TestThrottle passes the speed of a running task on.
func TestThrottle(t *testing.T) {
	b := reserved(t)
	b.order(wire.Throttle{Order: order, Task: taskID, Slow: true})
	expect[agent.ThrottleTask](b)
	b.order(wire.Run{Order: order, Task: taskID})
	b.order(wire.Throttle{Order: order, Task: taskID, Slow: true})
	expect(b, agent.ThrottleTask{Task: taskID, Slow: true})
}

// TestUsage announces the draw that the runner reports, and leaves when it says
// so.
func TestUsage(t *testing.T) {
	b := newBench(t)
	b.step(agent.Usage{Draw: 900})
	b.pass(2*second, nil)
	take[agent.Left](b)
	sent := take[wire.Announce](b)
	if last := sent[len(sent)-1]; last.Draw != 900 || last.Leaving {
		t.Errorf("announced %+v", last)
	}
	b.step(agent.Usage{Draw: 900, Leaving: true})
	if sent := take[wire.Announce](b); len(sent) != 1 || !sent[0].Leaving {
		t.Errorf("announced %+v at once", sent)
	}
	b.order(wire.Reserve{Order: order, Task: taskID, Share: share})
	expect(b, wire.Reserved{Epoch: 3, Task: taskID, Reason: "the upstream is leaving"})
	expect(b, agent.Left{})
}

// TestLeave starts nothing when the grace has passed, even if a gate that
// missed the message orders it, and ends what runs.
func TestLeave(t *testing.T) {
	b := running(t)
	late := wire.TaskID{Job: "late", Attempt: 1, Epoch: 3}
	b.order(wire.Reserve{Order: order, Task: late, Share: floor.Share{Worker: "w-1", Accelerators: 2}, Peers: peers})
	b.step(agent.Leave{})
	take[wire.Halted](b)
	b.now = b.now.Add(agent.DefaultLeaveGrace)
	b.order(wire.Run{Order: order, Task: late})
	expect[agent.RunTask](b)
	expect(b, wire.Halted{Epoch: 3, Task: late, Reason: "the upstream is leaving"})
	expect[agent.StopTask](b)
	expect[agent.Left](b)
	b.step(agent.TaskEnded{Task: taskID})
	expect[agent.Left](b)
	b.order(wire.Settled{Order: order, Task: taskID})
	expect(b, agent.Left{})
}

// TestLeaveReserved lets a reservation go that hears nothing while its upstream
// leaves, and starts one that hears in time.
func TestLeaveReserved(t *testing.T) {
	b := reserved(t)
	b.step(agent.Leave{})
	expect[agent.Left](b)
	b.pass(agent.DefaultLeaveGrace, nil)
	expect(b, wire.Halted{Epoch: 3, Task: taskID, Reason: "the upstream is leaving"})
	expect(b, agent.Left{})
	b = reserved(t)
	b.step(agent.Leave{})
	b.order(wire.Run{Order: order, Task: taskID})
	if len(take[agent.RunTask](b)) != 1 {
		t.Error("what was reserved before did not start")
	}
}
