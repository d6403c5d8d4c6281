package runner_test

import (
	"context"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// bed drives the core of an agent by hand and keeps its last effects.
type bed struct {
	t       *testing.T
	now     time.Time
	core    *runner.Core
	effects []any
	serial  control.Serial
}

// maxDead is how many reports may wait for a gate that does not answer.
const maxDead = 2

var self = control.RunnerID{Name: "i-1", Born: 1}

func newBed(t *testing.T) *bed {
	return &bed{
		t: t, now: time.Unix(1000, 0),
		core: runner.New("a", 7, []machine.Node{"gate:1"}, runner.WithHold(6*time.Second)),
	}
}

func (b *bed) step(event any) {
	b.effects = b.core.Step(b.now, event)
}

func (b *bed) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(runner.Tick{})
}

// find returns the first of the last effects of a type.
func find[T any](b *bed) (T, bool) {
	for _, effect := range b.effects {
		if e, ok := effect.(T); ok {
			return e, true
		}
	}
	var none T
	return none, false
}

func must[T any](b *bed) T {
	b.t.Helper()
	effect, ok := find[T](b)
	if !ok {
		b.t.Fatalf("no %T among %v", effect, b.effects)
	}
	return effect
}

func (b *bed) beat() {
	b.step(runner.Beat{Runner: control.Runner{ID: self, Pool: "p"}, Seq: 1, Clock: 5000})
}

// word answers a report with orders.
func (b *bed) word(send runner.Send, change func(*control.Word)) {
	b.serial++
	word := control.Word{Leads: true, Epoch: 1, Fence: 1, Serial: b.serial, Runner: self}
	if change != nil {
		change(&word)
	}
	b.step(runner.Heard{Call: send, Word: word})
}

// list answers a look.
func (b *bed) list(look runner.Look, tasks ...control.Task) {
	b.step(runner.LookResult{Call: look, Answer: runner.Accepted, Clock: 5000 + runner.Clock(b.now.Sub(time.Unix(1000, 0)).Milliseconds()), Tasks: tasks})
}

// ready brings the agent to where it takes orders, and returns its report.
func (b *bed) ready() runner.Send {
	b.t.Helper()
	b.beat()
	b.word(must[runner.Send](b), nil)
	b.list(must[runner.Look](b))
	return must[runner.Send](b)
}

func start(run work.Run) control.Start {
	return control.Start{Task: work.TaskID{StepID: work.StepID{Job: "j1"}}, Run: run}
}

// TestOrdersBeforeList has orders arrive before the runner's tasks are listed.
// They must not count as heard, since they were not carried out.
func TestOrdersBeforeList(t *testing.T) {
	b := newBed(t)
	b.beat()
	b.word(must[runner.Send](b), func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	if call, ok := find[runner.StartTask](b); ok {
		t.Errorf("started %v before the list", call.Start)
	}
	b.list(must[runner.Look](b))
	if report := must[runner.Send](b).Report; report.Heard != 0 || !report.Listed {
		t.Errorf("heard %d, listed %t", report.Heard, report.Listed)
	}
}

// TestUnanswered has a start without an answer. It is in doubt until the runner
// has listed its tasks under a higher token; then it will never run.
func TestUnanswered(t *testing.T) {
	b := newBed(t)
	b.word(b.ready(), func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	call := must[runner.StartTask](b)
	b.step(runner.StartResult{Call: call, Answer: runner.Unanswered})
	look := must[runner.Look](b)
	if look.Token <= call.Token || look.Wait != 0 {
		t.Errorf("token %d after %d, wait %s", look.Token, call.Token, look.Wait)
	}
	b.now = b.now.Add(10 * time.Millisecond)
	b.list(look)
	report := must[runner.Send](b).Report
	if len(report.Tasks) != 0 || len(report.Refusals) != 1 || report.Refusals[0].Run != 1 {
		t.Errorf("tasks %v, refusals %v", report.Tasks, report.Refusals)
	}
}

// TestUnansweredRuns has a start without an answer that took effect.
func TestUnansweredRuns(t *testing.T) {
	b := newBed(t)
	b.word(b.ready(), func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	call := must[runner.StartTask](b)
	b.step(runner.StartResult{Call: call, Answer: runner.Unanswered})
	b.list(must[runner.Look](b), control.Task{ID: start(1).Task, Run: 1, Phase: control.Running})
	report := must[runner.Send](b).Report
	if len(report.Tasks) != 1 || report.Tasks[0].Phase != control.Running || len(report.Refusals) != 0 {
		t.Errorf("tasks %v, refusals %v", report.Tasks, report.Refusals)
	}
}

// TestStopFirst has a stop arrive for a run that the agent does not know. The
// run must not start later.
func TestStopFirst(t *testing.T) {
	b := newBed(t)
	send := b.ready()
	b.word(send, func(w *control.Word) {
		w.Stops = []control.Stop{{Task: start(1).Task, Run: 1}}
	})
	if report := must[runner.Send](b).Report; len(report.Refusals) != 1 {
		t.Errorf("refusals %v", report.Refusals)
	}
	b.word(send, func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	if call, ok := find[runner.StartTask](b); ok {
		t.Errorf("started %v after its stop", call.Start)
	}
}

// TestStaleWord has the answer of a leader arrive so late that another one may
// lead. It must not be acted on.
func TestStaleWord(t *testing.T) {
	b := newBed(t)
	send := b.ready()
	b.now = b.now.Add(2 * time.Second)
	b.word(send, func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	if call, ok := find[runner.StartTask](b); ok {
		t.Errorf("started %v by a stale word", call.Start)
	}
}

// TestSilentRunner has a runner that does not answer. What it ran is given up
// only when the lease has run out by a slow clock.
func TestSilentRunner(t *testing.T) {
	b := newBed(t)
	b.word(b.ready(), func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	b.step(runner.StartResult{Call: must[runner.StartTask](b), Answer: runner.Accepted})
	last := b.now
	for range 200 {
		b.wait(100 * time.Millisecond)
		if look, ok := find[runner.Look](b); ok {
			b.step(runner.LookResult{Call: look, Answer: runner.Unanswered})
		}
		if send, ok := find[runner.Send](b); ok {
			if send.Report.Lost {
				break
			}
			b.word(send, nil)
		}
	}
	if took := b.now.Sub(last); took < 6*time.Second || took > 12*time.Second {
		t.Errorf("given up after %s", took)
	}
}

// TestLostLeader has a leader die while the other gate still names it. The agent
// must go on to ask the gates until one names another leader or a later epoch.
func TestLostLeader(t *testing.T) {
	b := newBed(t)
	b.core.Gates([]machine.Node{"gate:2"})
	send := b.ready()
	b.step(runner.Heard{Call: send, Err: context.DeadlineExceeded})
	asked := make(map[machine.Node]int)
	for range 10 {
		b.wait(200 * time.Millisecond)
		send, ok := find[runner.Send](b)
		if !ok {
			continue
		}
		asked[send.To]++
		if send.To == "gate:2" {
			b.step(runner.Heard{Call: send, Word: control.Word{Leader: "gate:1", Epoch: 1}})
		}
	}
	if asked["gate:1"] > maxDead || asked["gate:2"] < 3 {
		t.Errorf("asked %v", asked)
	}
	for range 3 {
		b.wait(200 * time.Millisecond)
		if send, ok := find[runner.Send](b); ok && send.To == "gate:2" {
			b.step(runner.Heard{Call: send, Word: control.Word{Leader: "gate:3", Epoch: 2}})
			b.wait(200 * time.Millisecond)
			if send, ok := find[runner.Send](b); !ok || send.To != "gate:3" {
				t.Errorf("report to %q, want the new leader", send.To)
			}
			return
		}
	}
	t.Error("the other gate was not asked again")
}

// TestPoll has the leader tell how long its answers wait. The agent goes by it, but
// reports often enough that its hold is renewed.
func TestPoll(t *testing.T) {
	for poll, want := range map[time.Duration]time.Duration{0: 600 * time.Millisecond, time.Second: time.Second, time.Hour: 2 * time.Second} {
		b := newBed(t)
		b.beat()
		b.word(must[runner.Send](b), func(w *control.Word) { w.Poll = poll })
		b.list(must[runner.Look](b))
		if got := must[runner.Send](b).Report.Wait; got != want {
			t.Errorf("told to wait %v: waits %v, want %v", poll, got, want)
		}
	}
}

// TestGoneRunner has a runner vanish for good while a task is to stop there: no
// connection to it can be made. That is no sign of life, so that the agent gives
// up what ran there when its lease is over.
func TestGoneRunner(t *testing.T) {
	b := newBed(t)
	b.word(b.ready(), func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	b.step(runner.StartResult{Call: must[runner.StartTask](b), Answer: runner.Accepted})
	send := must[runner.Send](b)
	b.word(send, func(w *control.Word) {
		w.Stops = []control.Stop{{Task: start(1).Task, Run: 1}}
	})
	for end := b.now.Add(15 * time.Second); b.now.Before(end); {
		b.wait(100 * time.Millisecond)
		for _, effect := range b.effects {
			switch e := effect.(type) {
			case runner.Look:
				b.step(runner.LookResult{Call: e, Answer: runner.Unreached})
			case runner.StopTask:
				b.step(runner.StopResult{Call: e, Answer: runner.Unreached})
			case runner.Send:
				if e.Report.Lost && len(e.Report.Tasks) == 0 {
					return
				}
				b.word(e, nil)
			}
		}
	}
	t.Error("the agent still reports what a runner has that is gone")
}

// TestGoneRunnerGetsNoStarts has a runner vanish while a task runs there and its
// leader goes on to order others. They must not keep the agent from giving up
// what ran there.
func TestGoneRunnerGetsNoStarts(t *testing.T) {
	b := newBed(t)
	b.word(b.ready(), func(w *control.Word) { w.Starts = []control.Start{start(1)} })
	b.step(runner.StartResult{Call: must[runner.StartTask](b), Answer: runner.Accepted})
	queue := b.effects
	task := start(1)
	for end := b.now.Add(15 * time.Second); b.now.Before(end); {
		b.wait(50 * time.Millisecond)
		queue = append(queue, b.effects...)
		if len(queue) == 0 {
			continue
		}
		b.effects = nil
		switch e := queue[0].(type) {
		case runner.Look:
			b.step(runner.LookResult{Call: e, Answer: runner.Unreached})
		case runner.StartTask:
			b.step(runner.StartResult{Call: e, Answer: runner.Unreached})
		case runner.Send:
			if e.Report.Lost && len(e.Report.Tasks) == 0 {
				return
			}
			task.Task.Index++
			b.word(e, func(w *control.Word) { w.Starts = []control.Start{task} })
		}
		queue = append(queue[1:], b.effects...)
	}
	t.Error("the agent still reports what a runner has that is gone")
}
