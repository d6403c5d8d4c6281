package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// halted stops the attempt of a member that does not run any more though it was
// not told to stop. An agent that halted a task of no live attempt is let go of
// it.
func (l *leader) halted(now time.Time, from machine.Node, m wire.Halted) {
	if !l.ready {
		return
	}
	e, member := l.member(from, m.Task)
	if member == nil {
		l.stopStray(from, m.Task)
		return
	}
	member.ran = member.ran || m.Ran
	l.abort(now, e, m.Reason)
}

// stopStray stops a task that belongs to no live attempt.
func (l *leader) stopStray(from machine.Node, id wire.TaskID) {
	if u := l.at(from); u != nil && u.fenced {
		order := wire.Order{Epoch: l.epoch, Revision: l.gate.directory.revision(), Incarnation: u.incarnation}
		l.gate.send(from, wire.Stop{Order: order, Task: id})
	}
}
