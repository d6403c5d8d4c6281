package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// NewMachine returns the state machine of a new incarnation of a process.
	// Incarnations are numbered from one.
	NewMachine func(p *Process) machine.Machine

	// Handler executes the effects that package machine does not define.
	Handler func(p *Process, effect machine.Effect)

	// Process is a simulated process: one state machine at one address. It loses all
	// its state in a crash.
	Process struct {
		simulation  *Simulation
		node        machine.Node
		incarnation uint64
		newMachine  NewMachine
		handler     Handler
		start       machine.Event
		machine     machine.Machine
		clockOffset time.Duration
		paused      bool
		heldEvents  []machine.Event
		wakeAt      time.Time
	}
)

// Add adds a process and starts it with the event start. Its clock differs from the
// virtual time by a fixed random offset of up to an hour.
func (s *Simulation) Add(node machine.Node, newMachine NewMachine, handler Handler, start machine.Event) *Process {
	p := &Process{
		simulation:  s,
		node:        node,
		newMachine:  newMachine,
		handler:     handler,
		start:       start,
		clockOffset: s.RandomDuration(-time.Hour, time.Hour),
	}
	s.Network.processes[node] = p
	p.Restart()
	return p
}

// Node returns the address of the process.
func (p *Process) Node() machine.Node {
	return p.node
}

// Incarnation returns the number of the current incarnation, from one.
func (p *Process) Incarnation() uint64 {
	return p.incarnation
}

// Now returns the time on the process's own clock.
func (p *Process) Now() time.Time {
	return p.simulation.now.Add(p.clockOffset)
}

// Up reports whether the process is running. A paused process is running.
func (p *Process) Up() bool {
	return p.machine != nil
}

// Machine returns the state machine of the current incarnation, or nil if the process
// is down.
func (p *Process) Machine() machine.Machine {
	return p.machine
}

// Crash ends the current incarnation at once. Events posted to it but not delivered are
// lost; messages in flight may still reach the next incarnation.
func (p *Process) Crash() {
	p.machine = nil
	p.heldEvents = nil
	p.paused = false
	p.wakeAt = time.Time{}
}

// Restart ends the current incarnation, if there is one, and starts a new one without
// any state.
func (p *Process) Restart() {
	p.Crash()
	p.incarnation++
	p.machine = p.newMachine(p)
	p.Post(p.start)
}

// Move ends the current incarnation and starts a new one at another address.
func (p *Process) Move(node machine.Node) {
	p.Crash()
	delete(p.simulation.Network.processes, p.node)
	p.node = node
	p.simulation.Network.processes[node] = p
	p.Restart()
}

// Pause holds back all events to the process until Resume.
func (p *Process) Pause() {
	p.paused = true
}

// Resume ends a pause and delivers the events that were held back.
func (p *Process) Resume() {
	p.paused = false
	held := p.heldEvents
	p.heldEvents = nil
	for _, event := range held {
		p.Post(event)
	}
}

// Post delivers an event to the current incarnation of the process.
func (p *Process) Post(event machine.Event) {
	p.PostAfter(0, event)
}

// PostAfter delivers an event after a delay, unless the current incarnation has ended
// by then.
func (p *Process) PostAfter(delay time.Duration, event machine.Event) {
	incarnation := p.incarnation
	p.simulation.After(delay, func() {
		if p.incarnation == incarnation {
			p.deliver(event)
		}
	})
}

// deliver passes an event to the state machine, or holds it back during a pause.
func (p *Process) deliver(event machine.Event) {
	switch {
	case p.machine == nil:
	case p.paused:
		p.heldEvents = append(p.heldEvents, event)
	default:
		p.step(event)
	}
}

// step makes one step of the state machine, checks it and executes its effects.
func (p *Process) step(event machine.Event) {
	if _, ok := event.(machine.Tick); ok {
		p.wakeAt = time.Time{}
	}
	effects := p.machine.Step(p.Now(), event)
	p.simulation.check(Step{Process: p, Event: event, Effects: effects})
	for _, effect := range effects {
		p.execute(effect)
	}
}

func (p *Process) execute(effect machine.Effect) {
	switch e := effect.(type) {
	case machine.Send:
		p.simulation.Network.send(p, e)
	case machine.Wake:
		p.scheduleWake(e.At)
	case machine.Commit, machine.Read, machine.Scan, machine.Put, machine.Get:
		p.simulation.Store.execute(p, effect)
	default:
		if p.handler != nil {
			p.handler(p, effect)
		}
	}
}

// scheduleWake schedules a machine.Tick at a time on the process's clock, unless an
// earlier one is scheduled.
func (p *Process) scheduleWake(at time.Time) {
	if !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	incarnation := p.incarnation
	p.simulation.After(at.Sub(p.Now()), func() {
		if p.incarnation == incarnation && p.wakeAt.Equal(at) {
			p.deliver(machine.Tick{})
		}
	})
}
