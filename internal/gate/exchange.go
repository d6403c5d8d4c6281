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
		directory   *directory
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

func newExchange(d *directory) *exchange {
	x := &exchange{directory: d}
	for _, node := range d.gate.config.Gates {
		if node != d.gate.node {
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
	if x.directory.readFailed || x.directory.register.Behind() {
		x.nextAsk = now.Add(SettingsInterval)
	}
	for _, p := range x.peers {
		x.lastRequest++
		p.lastRequest = x.lastRequest
		p.askedAt = now
		x.directory.gate.send(p.node, wire.ChangesRequest{
			Number:   p.lastRequest,
			Revision: x.directory.revision(),
			Known:    x.directory.register.HasValue(),
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
		x.directory.gate.send(p.node, wire.Changes{Revision: c.Revision, Known: true, Rows: [][]byte{row}})
	}
}

// receive handles a message from another gate.
func (d *directory) receive(now time.Time, message machine.Message) {
	d.now = now
	switch m := message.Body.(type) {
	case wire.ChangesRequest:
		d.handleChangesRequest(now, message.From, m)
	case wire.Changes:
		d.handleChanges(now, message.From, m)
	case wire.GuaranteeCheck:
		d.handleGuaranteeCheck(now, message.From, m)
	case wire.GuaranteeCheckResult:
		d.editor.handleGuaranteeCheckResult(m)
	}
}

// handleRevisions sends another gate the changes that it lacks.
func (d *directory) handleChangesRequest(now time.Time, from machine.Node, m wire.ChangesRequest) {
	d.observe(now, m.Revision)
	current, number, known := d.register.Get()
	reply := wire.Changes{Number: m.Number, Revision: number, Known: known, Agents: d.heldByAgents()}
	if confirmed, ok := d.register.Confirmed(); ok {
		reply.HasAge = true
		reply.Age = now.Sub(confirmed)
	}
	if known && (number > m.Revision || !m.Known) {
		changes := d.changesSince(m.Revision)
		reply.Full = !m.Known || changes == nil
		if reply.Full {
			changes = current.Changes()
		}
		reply.Rows = encodeRows(changes)
	}
	d.gate.send(from, reply)
}

// changesSince returns the changes after a revision, or nil if not all of them
// are kept.
func (d *directory) changesSince(number revision.Number) []account.Change {
	for i, c := range d.recentChanges {
		if c.Revision == number+1 {
			return d.recentChanges[i:]
		}
	}
	return nil
}

// handleChanges applies the changes that another gate sends.
func (d *directory) handleChanges(now time.Time, from machine.Node, m wire.Changes) {
	changes := parseRows(m.Rows)
	if len(changes) == len(m.Rows) && m.Known {
		if m.Full {
			d.replace(m.Revision, account.NewDirectory(changes...))
		} else {
			d.advance(changes)
		}
	}
	d.observe(now, m.Revision)
	for _, p := range d.exchange.peers {
		if p.node == from {
			d.recordPeerAnswer(p, m)
		}
	}
}

// recordPeerAnswer records the answer of another gate. Only an answer to the
// latest request confirms the settings, because only that request's time is
// known.
func (d *directory) recordPeerAnswer(p *peerGate, m wire.Changes) {
	p.revision = max(p.revision, m.Revision)
	if m.Number == 0 || m.Number != p.lastRequest {
		return
	}
	p.heardAt = p.askedAt
	p.agents = m.Agents
	if m.HasAge && m.Age >= 0 {
		d.register.Confirm(p.askedAt.Add(-m.Age), m.Revision)
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
