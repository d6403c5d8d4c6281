package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Network simulates the network between processes. A message is lost with the
	// probability LossProbability and duplicated with DuplicateProbability. Its delay
	// is random between Delay and Delay plus Jitter, so messages may be reordered.
	Network struct {
		LossProbability      float64
		DuplicateProbability float64
		Delay                time.Duration
		Jitter               time.Duration
		simulation           *Simulation
		processes            map[machine.Node]*Process
		cuts                 map[link]bool
	}

	// link is one direction between two processes.
	link struct {
		from, to machine.Node
	}
)

const (
	// DefaultDelay is the shortest delay of a message.
	DefaultDelay = time.Millisecond

	// DefaultSpread is the range of the random delay of a message.
	DefaultSpread = 5 * time.Millisecond
)

func newNetwork(s *Simulation) *Network {
	return &Network{
		Delay:      DefaultDelay,
		Jitter:     DefaultSpread,
		simulation: s,
		processes:  make(map[machine.Node]*Process),
		cuts:       make(map[link]bool),
	}
}

// Cut drops all messages in one direction between two processes, until Heal.
func (n *Network) Cut(from, to machine.Node) {
	n.cuts[link{from, to}] = true
}

// Isolate drops all messages between a process and all others, until Heal.
func (n *Network) Isolate(node machine.Node) {
	for other := range n.processes {
		n.Cut(node, other)
		n.Cut(other, node)
	}
}

// Heal ends all faults of the network.
func (n *Network) Heal() {
	clear(n.cuts)
	n.LossProbability, n.DuplicateProbability = 0, 0
	n.Delay, n.Jitter = DefaultDelay, DefaultSpread
}

// send delivers a message after a delay, subject to the faults. Messages of a process
// to itself have no faults.
func (n *Network) send(from *Process, e machine.Send) {
	message := machine.Message{From: from.node, Body: e.Body}
	if e.To == from.node {
		from.Post(message)
		return
	}
	n.simulation.messages++
	copies := 1
	if n.simulation.Chance(n.DuplicateProbability) {
		copies++
	}
	for range copies {
		if n.cuts[link{from.node, e.To}] || n.simulation.Chance(n.LossProbability) {
			continue
		}
		n.simulation.After(n.simulation.RandomDuration(n.Delay, n.Delay+n.Jitter), func() {
			if to, ok := n.processes[e.To]; ok {
				to.deliver(message)
			}
		})
	}
}
