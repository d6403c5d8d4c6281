package gate

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

const (
	// SpreadInterval is the time between two looks at which agents lack the newest
	// revision.
	SpreadInterval = time.Second

	// SpreadSilence is the time without an announcement of an agent that lacks the
	// newest revision after which its leader tells it unasked.
	SpreadSilence = time.Second
)

type (
	// heldRevision is the revision that an agent has announced.
	heldRevision struct {
		revision    revision.Number
		incarnation wire.Incarnation
		told        time.Time
	}

	// Spread is how far the revisions have got, as far as a gate knows. Agents is
	// what the leader knows of its agents.
	Spread struct {
		Revision revision.Number
		Fresh    bool
		Gates    []NodeRevision
		Agents   []wire.Held
	}

	// NodeRevision is the revision that a gate holds. Heard is when it was last
	// known, and zero if it never was.
	NodeRevision struct {
		Node     machine.Node
		Revision revision.Number
		Heard    time.Time
	}
)

// announced takes note of the revision that an agent holds. The answer to the
// announcement tells the agent the newest.
func (d *directory) announced(now time.Time, m wire.Announce) {
	d.observe(now, m.Revision)
	if d.gate.leader == nil {
		return
	}
	have := d.agents[m.Worker.ID]
	if have.incarnation != m.Incarnation {
		have = heldRevision{incarnation: m.Incarnation}
	}
	have.revision = max(have.revision, m.Revision)
	have.told = now
	d.agents[m.Worker.ID] = have
}

// spreadRevision tells the newest revision to the agents that lack it and have
// not announced themselves of late, while this gate leads.
func (d *directory) spreadRevision(now time.Time) {
	l := d.gate.leader
	if l == nil || now.Before(d.spread) {
		return
	}
	d.spread = now.Add(SpreadInterval)
	for _, u := range l.list() {
		held := d.agents[u.worker.ID]
		if held.revision < d.revision() && now.Sub(held.told) > SpreadSilence {
			d.gate.send(u.node, wire.Redirect{Leader: d.gate.node, Epoch: l.epoch, Revision: d.revision()})
		}
	}
	for id := range d.agents {
		if _, ok := l.workers[id]; !ok {
			delete(d.agents, id)
		}
	}
}

// heldByAgents counts the agents by revision, if this gate leads.
func (d *directory) heldByAgents() []wire.Held {
	l := d.gate.leader
	if l == nil {
		return nil
	}
	counts := make(map[revision.Number]wire.Held)
	for _, id := range slices.Sorted(maps.Keys(l.workers)) {
		d.count(counts, id)
	}
	var list []wire.Held
	for _, number := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, counts[number])
	}
	return list
}

func (d *directory) count(counts map[revision.Number]wire.Held, id floor.WorkerID) {
	number := d.agents[id].revision
	held := counts[number]
	held.Revision = number
	held.Agents++
	held.Worker = id
	counts[number] = held
}

// known returns how far the revisions have got.
func (d *directory) known(now time.Time) Spread {
	s := Spread{
		Revision: d.revision(),
		Fresh:    d.fresh(now),
		Gates:    []NodeRevision{{Node: d.gate.node, Revision: d.revision(), Heard: now}},
		Agents:   d.heldByAgents(),
	}
	for _, p := range d.gates.peers {
		s.Gates = append(s.Gates, NodeRevision{Node: p.node, Revision: p.revision, Heard: p.heard})
		if s.Agents == nil {
			s.Agents = p.agents
		}
	}
	return s
}
