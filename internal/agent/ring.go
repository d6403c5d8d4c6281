package agent

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// carry carries out what a task's member of its gang asks for.
func (a *Agent) carry(now time.Time, t *task, actions gang.Actions[machine.Node]) {
	for _, s := range actions.Sends {
		a.pulse(t, s)
	}
	if actions.Start {
		a.begin(now, t)
	}
	if actions.Stop {
		a.halt(now, t)
	}
}

func (a *Agent) pulse(t *task, s gang.Send[machine.Node]) {
	to := t.id
	to.Rank = job.Rank(slices.Index(t.peers, s.To))
	a.beats[s.To] = append(a.beats[s.To], wire.Pulse{
		Task:  to,
		From:  job.Rank(s.Beat.From),
		State: s.Beat.State,
		Ask:   s.Beat.Ask,
		Lost:  job.Rank(s.Beat.Lost),
	})
}

// sendBeats sends the pulses of a step, one message to each peer.
func (a *Agent) sendBeats() {
	for _, node := range slices.Sorted(maps.Keys(a.beats)) {
		a.send(node, wire.Beat{Pulses: a.beats[node]})
	}
	clear(a.beats)
}

// halt stops a task whose gang is broken. It does not shorten the grace that the
// leader gave.
func (a *Agent) halt(now time.Time, t *task) {
	switch {
	case a.tasks[t.id] != t || t.stop:
	case t.phase == wire.PhaseReserved:
		a.forget(now, t)
	case t.phase == wire.PhaseRunning:
		lost, _ := t.member.Broken()
		t.reason = fmt.Sprintf("member %d of the gang was lost", lost)
		a.stopRunner(t, false, 0)
	}
}

func (a *Agent) beat(now time.Time, from machine.Node, m wire.Beat) {
	for _, pulse := range m.Pulses {
		t, ok := a.tasks[pulse.Task]
		if !ok {
			a.answerStray(from, pulse)
			continue
		}
		if t.member == nil {
			continue
		}
		a.carry(now, t, t.member.Receive(now, gang.Beat{
			From:  gang.Rank(pulse.From),
			State: pulse.State,
			Ask:   pulse.Ask,
			Lost:  gang.Rank(pulse.Lost),
		}))
	}
}

// answerStray tells a member of a gang that the member it beats to is not held
// here, so that its gang is broken.
func (a *Agent) answerStray(from machine.Node, pulse wire.Pulse) {
	if pulse.State == gang.Halted || (pulse.State == gang.Reserved && !a.buried(pulse.Task)) {
		return
	}
	to := pulse.Task
	to.Rank = pulse.From
	a.beats[from] = append(a.beats[from], wire.Pulse{
		Task:  to,
		From:  pulse.Task.Rank,
		State: gang.Halted,
		Lost:  pulse.Task.Rank,
	})
}

func (a *Agent) buried(id wire.TaskID) bool {
	_, ok := a.stopped[id]
	return ok
}
