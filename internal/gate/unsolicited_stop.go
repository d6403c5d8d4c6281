package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// handleUnsolicitedStop aborts the attempt of a member that stopped running without an
// order. If the task belongs to no live attempt, it becomes an orphan, so that
// its agent is ordered to stop it and ceases to report it.
func (l *leader) handleUnsolicitedStop(now time.Time, from machine.Node, m wire.UnsolicitedStop) {
	l.recordAnswer(from)
	e, member := l.member(from, m.Task)
	if member == nil {
		if u := l.upstreamAt(from); u != nil {
			l.addOrphan(u, m.Task)
		}
		return
	}
	member.ran = member.ran || m.Ran
	l.abort(now, e, m.Reason)
}
