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
	l.answered(from)
	e, member := l.member(from, m.Task)
	if member == nil {
		if u := l.at(from); u != nil {
			l.strayTask(u, m.Task)
		}
		return
	}
	member.ran = member.ran || m.Ran
	l.abort(now, e, m.Reason)
}
