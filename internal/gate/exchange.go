package gate

import (
	"encoding/json"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

const (
	// ExchangeInterval is the interval at which a gate asks each other gate for
	// its revision.
	ExchangeInterval = 5 * time.Second
)

type (
	// exchange spreads settings between the gates of the region, also while the
	// table is unavailable. lastRequest is the number of the last request to
	// any of them.
	exchange struct {
		settings    *settings
		peers       []*peerGate
		lastRequest uint64
		nextAsk     time.Time
	}

	// peerGate is another gate of the region. lastRequest is the number of the
	// last request to it, askedAt when that was sent, and heardAt when the last
	// request that it answered was sent. agents counts its agents by revision,
	// if it leads.
	peerGate struct {
		node        machine.Node
		lastRequest uint64
		askedAt     time.Time
		heardAt     time.Time
		revision    revision.Number
		agents      []wire.RevisionCount
	}
)

// WithGates adds gates of the region. The list may include the gate itself.
func WithGates(nodes ...machine.Node) Option {
	return func(c *Config) { c.Gates = append(c.Gates, nodes...) }
}

func newExchange(s *settings) *exchange {
	x := &exchange{settings: s}
	for _, node := range s.gate.config.Gates {
		if node != s.gate.node {
			x.peers = append(x.peers, &peerGate{node: node})
		}
	}
	return x
}

// tick asks the other gates for their revisions, more often while the table
// cannot be read or the settings are known to be outdated.
func (x *exchange) tick(now time.Time) {
	if now.Before(x.nextAsk) {
		return
	}
	x.nextAsk = now.Add(ExchangeInterval)
	if x.settings.readFailed || x.settings.register.Behind() {
		x.nextAsk = now.Add(SettingsInterval)
	}
	for _, p := range x.peers {
		x.lastRequest++
		p.lastRequest = x.lastRequest
		p.askedAt = now
		x.settings.gate.send(p.node, wire.ChangesRequest{
			Number:   p.lastRequest,
			Revision: x.settings.revision(),
			Known:    x.settings.register.HasValue(),
		})
	}
}

// reachable reports whether another gate has answered within the SettingsMaxAge,
// or there is no other gate.
func (x *exchange) reachable(now time.Time) bool {
	for _, p := range x.peers {
		if !p.heardAt.IsZero() && now.Sub(p.heardAt) <= SettingsMaxAge {
			return true
		}
	}
	return len(x.peers) == 0
}

// push sends a new change to all other gates.
func (x *exchange) push(c account.Change) {
	row, err := json.Marshal(c)
	if err != nil {
		return
	}
	for _, p := range x.peers {
		x.settings.gate.send(p.node, wire.Changes{Revision: c.Revision, Known: true, Rows: [][]byte{row}})
	}
}

// receive handles a message from another gate.
func (s *settings) receive(now time.Time, message machine.Message) {
	s.now = now
	switch m := message.Body.(type) {
	case wire.ChangesRequest:
		s.handleChangesRequest(now, message.From, m)
	case wire.Changes:
		s.handleChanges(now, message.From, m)
	case wire.GuaranteeCheck:
		s.handleGuaranteeCheck(now, message.From, m)
	case wire.GuaranteeCheckResult:
		s.editor.handleGuaranteeCheckResult(m)
	}
}

// handleChangesRequest sends another gate the changes that it lacks.
func (s *settings) handleChangesRequest(now time.Time, from machine.Node, m wire.ChangesRequest) {
	s.observe(now, m.Revision)
	current, number, known := s.register.Get()
	reply := wire.Changes{Number: m.Number, Revision: number, Known: known, Agents: s.heldByAgents()}
	if confirmed, ok := s.register.Confirmed(); ok {
		reply.HasAge = true
		reply.Age = now.Sub(confirmed)
	}
	if known && (number > m.Revision || !m.Known) {
		changes := s.changesSince(m.Revision)
		reply.Full = !m.Known || changes == nil
		if reply.Full {
			changes = current.Changes()
		}
		reply.Rows = encodeRows(changes)
	}
	s.gate.send(from, reply)
}

// changesSince returns the changes after a revision, or nil if not all of them
// are kept.
func (s *settings) changesSince(number revision.Number) []account.Change {
	for i, c := range s.recentChanges {
		if c.Revision == number+1 {
			return s.recentChanges[i:]
		}
	}
	return nil
}

// handleChanges applies the changes that another gate sends.
func (s *settings) handleChanges(now time.Time, from machine.Node, m wire.Changes) {
	changes := parseRows(m.Rows)
	if len(changes) == len(m.Rows) && m.Known {
		if m.Full {
			s.replace(m.Revision, account.NewDirectory(changes...))
		} else {
			s.advance(changes)
		}
	}
	s.observe(now, m.Revision)
	for _, p := range s.exchange.peers {
		if p.node == from {
			s.recordPeerAnswer(p, m)
		}
	}
}

// recordPeerAnswer records the answer of another gate. Only an answer to the
// latest request confirms the settings, because only that request's time is
// known.
func (s *settings) recordPeerAnswer(p *peerGate, m wire.Changes) {
	p.revision = max(p.revision, m.Revision)
	if m.Number == 0 || m.Number != p.lastRequest {
		return
	}
	p.heardAt = p.askedAt
	p.agents = m.Agents
	if m.HasAge && m.Age >= 0 {
		s.register.Confirm(p.askedAt.Add(-m.Age), m.Revision)
	}
}

// encodeRows returns the changes as they are stored in the table.
func encodeRows(changes []account.Change) [][]byte {
	rows := make([][]byte, 0, len(changes))
	for _, c := range changes {
		if row, err := json.Marshal(c); err == nil {
			rows = append(rows, row)
		}
	}
	return rows
}

// parseRows returns the changes in rows, without the malformed ones.
func parseRows(rows [][]byte) []account.Change {
	changes := make([]account.Change, 0, len(rows))
	for _, row := range rows {
		if c, err := account.Decode(row); err == nil {
			changes = append(changes, c)
		}
	}
	return changes
}
