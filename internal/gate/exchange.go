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
	// ExchangeInterval is the time between two questions to each other gate for
	// its revision.
	ExchangeInterval = 5 * time.Second
)

type (
	// exchange spreads revisions between gates, also when the table is down.
	exchange struct {
		directory *directory
		peers     []*peerGate
		number    uint64
		next      time.Time
	}

	// peerGate is another gate of the region. Heard is when the last question
	// that it answered was asked.
	peerGate struct {
		node     machine.Node
		number   uint64
		asked    time.Time
		heard    time.Time
		revision revision.Number
		agents   []wire.Held
	}
)

// WithGates names all gates of the region. The gate itself may be among them.
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

func (x *exchange) tick(now time.Time) {
	if now.Before(x.next) {
		return
	}
	x.next = now.Add(ExchangeInterval)
	if x.directory.failing || x.directory.register.Behind() {
		x.next = now.Add(SettingsInterval)
	}
	for _, p := range x.peers {
		x.number++
		p.number = x.number
		p.asked = now
		x.directory.gate.send(p.node, wire.Revisions{
			Number:   p.number,
			Revision: x.directory.revision(),
			Known:    x.directory.register.Known(),
		})
	}
}

// reachable reports whether another gate has answered within the bound, or there
// is no other gate.
func (x *exchange) reachable(now time.Time) bool {
	for _, p := range x.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) <= SettingsBound {
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

func (d *directory) receive(now time.Time, message machine.Message) {
	d.now = now
	switch m := message.Body.(type) {
	case wire.Revisions:
		d.asked(now, message.From, m)
	case wire.Changes:
		d.told(now, message.From, m)
	case wire.Check:
		d.askedCheck(now, message.From, m)
	case wire.Checked:
		d.editor.checked(m)
	}
}

// asked answers another gate with what it lacks.
func (d *directory) asked(now time.Time, from machine.Node, m wire.Revisions) {
	d.observe(now, m.Revision)
	current, number, known := d.register.Get()
	reply := wire.Changes{Number: m.Number, Revision: number, Known: known, Agents: d.heldByAgents()}
	if confirmed, ok := d.register.Confirmed(); ok {
		reply.Dated = true
		reply.Age = now.Sub(confirmed)
	}
	if known && (number > m.Revision || !m.Known) {
		changes := d.since(m.Revision)
		reply.Full = !m.Known || changes == nil
		if reply.Full {
			changes = current.Changes()
		}
		reply.Rows = encodeRows(changes)
	}
	d.gate.send(from, reply)
}

// since returns the changes after a revision, or nil if some are not kept.
func (d *directory) since(number revision.Number) []account.Change {
	for i, c := range d.recent {
		if c.Revision == number+1 {
			return d.recent[i:]
		}
	}
	return nil
}

// told takes what another gate holds.
func (d *directory) told(now time.Time, from machine.Node, m wire.Changes) {
	changes := parseRows(m.Rows)
	if len(changes) == len(m.Rows) && m.Known {
		if m.Full {
			d.take(m.Revision, account.NewDirectory(changes...))
		} else {
			d.advance(changes)
		}
	}
	d.observe(now, m.Revision)
	for _, p := range d.gates.peers {
		if p.node == from {
			d.heard(p, m)
		}
	}
}

// heard takes note of a gate's answer. Only the answer to the last question
// counts, since that is the one whose time is known.
func (d *directory) heard(p *peerGate, m wire.Changes) {
	p.revision = max(p.revision, m.Revision)
	if m.Number == 0 || m.Number != p.number {
		return
	}
	p.heard = p.asked
	p.agents = m.Agents
	if m.Dated && m.Age >= 0 {
		d.register.Confirm(p.asked.Add(-m.Age), m.Revision)
	}
}

func encodeRows(changes []account.Change) [][]byte {
	rows := make([][]byte, 0, len(changes))
	for _, c := range changes {
		if row, err := json.Marshal(c); err == nil {
			rows = append(rows, row)
		}
	}
	return rows
}

func parseRows(rows [][]byte) []account.Change {
	changes := make([]account.Change, 0, len(rows))
	for _, row := range rows {
		if c, err := account.Decode(row); err == nil {
			changes = append(changes, c)
		}
	}
	return changes
}
