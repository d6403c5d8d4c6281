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

	// Propagation is how far the newest revision has spread, as far as a gate knows.
	// Agents counts the leader's agents by revision.
	Propagation struct {
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
func (s *settings) recordAnnounce(now time.Time, m wire.Announce) {
	s.observe(now, m.Revision)
	if s.gate.leader == nil {
		return
	}
	have := s.agents[m.Worker.ID]
	if have.incarnation != m.Incarnation {
		have = heldRevision{incarnation: m.Incarnation}
	}
	have.revision = max(have.revision, m.Revision)
	have.notifiedAt = now
	s.agents[m.Worker.ID] = have
}

// spreadRevision sends the newest revision to the agents that lack it and have
// not announced themselves within SpreadAfter, if this gate leads.
func (s *settings) spreadRevision(now time.Time) {
	l := s.gate.leader
	if l == nil || now.Before(s.nextSpread) {
		return
	}
	s.nextSpread = now.Add(SpreadInterval)
	for _, u := range l.sortedUpstreams() {
		held := s.agents[u.worker.ID]
		if held.revision < s.revision() && now.Sub(held.notifiedAt) > SpreadAfter {
			s.gate.send(u.node, wire.Redirect{Leader: s.gate.node, Epoch: l.epoch, Revision: s.revision()})
		}
	}
	for id := range s.agents {
		if _, ok := l.upstreams[id]; !ok {
			delete(s.agents, id)
		}
	}
}

// heldByAgents counts the agents by revision, if this gate leads.
func (s *settings) heldByAgents() []wire.RevisionCount {
	l := s.gate.leader
	if l == nil {
		return nil
	}
	counts := make(map[revision.Number]wire.RevisionCount)
	for _, id := range slices.Sorted(maps.Keys(l.upstreams)) {
		s.countAgent(counts, id)
	}
	var list []wire.RevisionCount
	for _, number := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, counts[number])
	}
	return list
}

// countAgent adds an agent to the counts.
func (s *settings) countAgent(counts map[revision.Number]wire.RevisionCount, id floor.WorkerID) {
	number := s.agents[id].revision
	held := counts[number]
	held.Revision = number
	held.Agents++
	held.Worker = id
	counts[number] = held
}

// propagation returns how far the newest revision has spread.
func (s *settings) propagation(now time.Time) Propagation {
	status := Propagation{
		Revision: s.revision(),
		Fresh:    s.fresh(now),
		Gates:    []NodeRevision{{Node: s.gate.node, Revision: s.revision(), LastContact: now}},
		Agents:   s.heldByAgents(),
	}
	for _, p := range s.exchange.peers {
		status.Gates = append(status.Gates, NodeRevision{Node: p.node, Revision: p.revision, LastContact: p.heardAt})
		if status.Agents == nil {
			status.Agents = p.agents
		}
	}
	return status
}
