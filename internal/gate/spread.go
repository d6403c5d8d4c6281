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
	// SpreadInterval is the interval at which the leader looks for agents that
	// lack the newest revision.
	SpreadInterval = time.Second

	// SpreadAfter is the time since the last announcement after which the
	// leader sends an agent the newest revision unasked.
	SpreadAfter = time.Second
)

type (
	// heldRevision is the highest revision that an agent has announced.
	// notifiedAt is when it last announced itself, and so was sent the newest
	// revision in answer.
	heldRevision struct {
		revision    revision.Number
		incarnation wire.Incarnation
		notifiedAt  time.Time
	}

	// Spread is how far the newest revision has spread, as far as a gate knows.
	// Agents counts the leader's agents by revision.
	Spread struct {
		Revision revision.Number
		Fresh    bool
		Gates    []NodeRevision
		Agents   []wire.RevisionCount
	}

	// NodeRevision is the revision that a gate holds. LastContact is when the gate
	// was last known to hold it, and zero if it never answered.
	NodeRevision struct {
		Node        machine.Node
		Revision    revision.Number
		LastContact time.Time
	}
)

// recordAnnounce records the revision that an agent announces. The answer to
// the announcement names the newest revision.
func (d *directory) recordAnnounce(now time.Time, m wire.Announce) {
	d.observe(now, m.Revision)
	if d.gate.leader == nil {
		return
	}
	have := d.agents[m.Worker.ID]
	if have.incarnation != m.Incarnation {
		have = heldRevision{incarnation: m.Incarnation}
	}
	have.revision = max(have.revision, m.Revision)
	have.notifiedAt = now
	d.agents[m.Worker.ID] = have
}

// spreadRevision sends the newest revision to the agents that lack it and have
// not announced themselves within SpreadAfter, if this gate leads.
func (d *directory) spreadRevision(now time.Time) {
	l := d.gate.leader
	if l == nil || now.Before(d.nextSpread) {
		return
	}
	d.nextSpread = now.Add(SpreadInterval)
	for _, u := range l.sortedUpstreams() {
		held := d.agents[u.worker.ID]
		if held.revision < d.revision() && now.Sub(held.notifiedAt) > SpreadAfter {
			d.gate.send(u.node, wire.Redirect{Leader: d.gate.node, Epoch: l.epoch, Revision: d.revision()})
		}
	}
	for id := range d.agents {
		if _, ok := l.upstreams[id]; !ok {
			delete(d.agents, id)
		}
	}
}

// heldByAgents counts the agents by revision, if this gate leads.
func (d *directory) heldByAgents() []wire.RevisionCount {
	l := d.gate.leader
	if l == nil {
		return nil
	}
	counts := make(map[revision.Number]wire.RevisionCount)
	for _, id := range slices.Sorted(maps.Keys(l.upstreams)) {
		d.countAgent(counts, id)
	}
	var list []wire.RevisionCount
	for _, number := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, counts[number])
	}
	return list
}

// countAgent adds an agent to the counts.
func (d *directory) countAgent(counts map[revision.Number]wire.RevisionCount, id floor.WorkerID) {
	number := d.agents[id].revision
	held := counts[number]
	held.Revision = number
	held.Agents++
	held.Worker = id
	counts[number] = held
}

// spreadStatus returns how far the newest revision has spread.
func (d *directory) spreadStatus(now time.Time) Spread {
	s := Spread{
		Revision: d.revision(),
		Fresh:    d.fresh(now),
		Gates:    []NodeRevision{{Node: d.gate.node, Revision: d.revision(), LastContact: now}},
		Agents:   d.heldByAgents(),
	}
	for _, p := range d.exchange.peers {
		s.Gates = append(s.Gates, NodeRevision{Node: p.node, Revision: p.revision, LastContact: p.heardAt})
		if s.Agents == nil {
			s.Agents = p.agents
		}
	}
	return s
}
