package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Network simulates the network between processes. A message is lost with the
	// probability Loss and duplicated with the probability Duplicate. Its delay is
	// random between Delay and Delay plus Spread, so messages may be reordered.
	Network struct {
		Loss      float64
		Duplicate float64
		Delay     time.Duration
		Spread    time.Duration
		world     *World
		processes map[machine.Node]*Process
		cuts      map[link]bool
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

func newNetwork(w *World) *Network {
	return &Network{
		Delay:     DefaultDelay,
		Spread:    DefaultSpread,
		world:     w,
		processes: make(map[machine.Node]*Process),
		cuts:      make(map[link]bool),
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
	n.Loss, n.Duplicate = 0, 0
	n.Delay, n.Spread = DefaultDelay, DefaultSpread
}

// send delivers a message after a delay, subject to the faults. Messages of a process
// to itself have no faults.
func (n *Network) send(from *Process, e machine.Send) {
	message := machine.Message{From: from.node, Body: e.Body}
	if e.To == from.node {
		from.Post(message)
		return
	}
	n.world.messages++
	copies := 1
	if n.world.Chance(n.Duplicate) {
		copies++
	}
	for range copies {
		if n.cuts[link{from.node, e.To}] || n.world.Chance(n.Loss) {
			continue
		}
		n.world.After(n.world.Between(n.Delay, n.Delay+n.Spread), func() {
			if to, ok := n.processes[e.To]; ok {
				to.deliver(message)
			}
		})
	}
}
