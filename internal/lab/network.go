package lab

import (
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// Network carries messages between processes. A message is lost or doubled
	// with the given probabilities and takes Delay to Delay plus Spread, so that
	// messages overtake each other.
	Network struct {
		Loss      float64
		Duplicate float64
		Delay     time.Duration
		Spread    time.Duration
		world     *World
		processes map[machine.Node]*Process
		cuts      map[link]bool
	}

	link struct {
		from, to machine.Node
	}
)

const (
	// DefaultDelay is the least time that a message takes.
	DefaultDelay = time.Millisecond

	// DefaultSpread is the range of the time that a message takes.
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

// Cut stops messages in one direction.
func (n *Network) Cut(from, to machine.Node) {
	n.cuts[link{from, to}] = true
}

// Isolate stops messages between a process and all others, in both directions.
func (n *Network) Isolate(node machine.Node) {
	for other := range n.processes {
		n.Cut(node, other)
		n.Cut(other, node)
	}
}

// Heal ends all cuts, losses, duplicates and long delays.
func (n *Network) Heal() {
	clear(n.cuts)
	n.Loss, n.Duplicate = 0, 0
	n.Delay, n.Spread = DefaultDelay, DefaultSpread
}

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
