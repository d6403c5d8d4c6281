package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Maker returns the machine of a new life of a process. Lives count from one.
	Maker func(p *Process) machine.Machine

	// Handler carries out the effects that package machine does not define.
	Handler func(p *Process, effect machine.Effect)

	// Process runs one machine at one address. It forgets all when it crashes.
	Process struct {
		world   *World
		node    machine.Node
		life    uint64
		maker   Maker
		handler Handler
		start   machine.Event
		machine machine.Machine
		skew    time.Duration
		paused  bool
		held    []machine.Event
		wake    time.Time
	}
)

// Add adds a process and starts it. Its clock differs from the virtual time by
// a fixed random amount.
func (w *World) Add(node machine.Node, maker Maker, handler Handler, start machine.Event) *Process {
	p := &Process{
		world:   w,
		node:    node,
		maker:   maker,
		handler: handler,
		start:   start,
		skew:    w.Between(-time.Hour, time.Hour),
	}
	w.Network.processes[node] = p
	p.Restart()
	return p
}

// Node returns the address of the process.
func (p *Process) Node() machine.Node {
	return p.node
}

// Life returns the number of the present life, from one.
func (p *Process) Life() uint64 {
	return p.life
}

// Now returns the time on the clock of the process.
func (p *Process) Now() time.Time {
	return p.world.now.Add(p.skew)
}

// Up reports whether the process is up, though it may be paused.
func (p *Process) Up() bool {
	return p.machine != nil
}

// Machine returns the machine of the present life, or nil.
func (p *Process) Machine() machine.Machine {
	return p.machine
}

// Crash ends the present life at once.
func (p *Process) Crash() {
	p.machine = nil
	p.held = nil
	p.paused = false
	p.wake = time.Time{}
}

// Restart begins a new life that knows nothing of the former ones.
func (p *Process) Restart() {
	p.Crash()
	p.life++
	p.machine = p.maker(p)
	p.Post(p.start)
}

// Move begins a new life at another address.
func (p *Process) Move(node machine.Node) {
	p.Crash()
	delete(p.world.Network.processes, p.node)
	p.node = node
	p.world.Network.processes[node] = p
	p.Restart()
}

// Pause keeps events from the process until it resumes.
func (p *Process) Pause() {
	p.paused = true
}

// Resume hands the process all events that came while it was paused.
func (p *Process) Resume() {
	p.paused = false
	held := p.held
	p.held = nil
	for _, event := range held {
		p.Post(event)
	}
}

// Post hands an event to the present life of the process.
func (p *Process) Post(event machine.Event) {
	p.PostAfter(0, event)
}

// PostAfter hands an event to the present life of the process after a delay.
func (p *Process) PostAfter(delay time.Duration, event machine.Event) {
	life := p.life
	p.world.After(delay, func() {
		if p.life == life {
			p.deliver(event)
		}
	})
}

func (p *Process) deliver(event machine.Event) {
	switch {
	case p.machine == nil:
	case p.paused:
		p.held = append(p.held, event)
	default:
		p.step(event)
	}
}

func (p *Process) step(event machine.Event) {
	if _, ok := event.(machine.Tick); ok {
		p.wake = time.Time{}
	}
	effects := p.machine.Step(p.Now(), event)
	p.world.check(Trace{Process: p, Event: event, Effects: effects})
	for _, effect := range effects {
		p.carry(effect)
	}
}

func (p *Process) carry(effect machine.Effect) {
	switch e := effect.(type) {
	case machine.Send:
		p.world.Network.send(p, e)
	case machine.Wake:
		p.schedule(e.At)
	case machine.Commit, machine.Read, machine.Scan, machine.Put, machine.Get:
		p.world.Store.carry(p, effect)
	default:
		if p.handler != nil {
			p.handler(p, effect)
		}
	}
}

func (p *Process) schedule(at time.Time) {
	if !p.wake.IsZero() && !at.Before(p.wake) {
		return
	}
	p.wake = at
	life := p.life
	p.world.After(at.Sub(p.Now()), func() {
		if p.life == life && p.wake.Equal(at) {
			p.deliver(machine.Tick{})
		}
	})
}
