package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// askedCheck answers a gate that asks whether the floor holds the guarantees.
func (d *directory) askedCheck(now time.Time, from machine.Node, m wire.Check) {
	if checked, ok := d.checkGuarantees(now, m); ok {
		d.gate.send(from, checked)
	}
}

// checkGuarantees checks the guarantees as a change would make them. It returns
// false if this gate cannot tell: it does not lead, it does not hold the revision
// that the change follows, or workers that it does not know yet may hold them.
func (d *directory) checkGuarantees(now time.Time, m wire.Check) (wire.Checked, bool) {
	d.observe(now, m.Revision)
	current, number, known := d.register.Get()
	l := d.gate.leader
	c, malformed := account.Decode(m.Row)
	if l == nil || !l.ready || !known || number < m.Revision || malformed != nil {
		return wire.Checked{}, false
	}
	next := current.With(c)
	var err error
	if current.Raises(next) {
		err = l.policy.CheckAccounts(next.Accounts())
	}
	if (err != nil || len(l.workers) == 0) && !l.floorKnown(now) {
		return wire.Checked{}, false
	}
	return wire.Checked{
		Number:   m.Number,
		Refused:  refused(err),
		Borrowed: l.borrowed(next),
	}, true
}

func refused(err error) *wire.Refused {
	if err == nil {
		return nil
	}
	r := &wire.Refused{Reason: err.Error()}
	var guarantee *scheduler.GuaranteeError
	if errors.As(err, &guarantee) {
		r.Account = guarantee.Account
		r.Shape = guarantee.Shape
		r.Count = guarantee.Count
	}
	return r
}

// borrowed returns what accounts use beyond the guarantees that a directory
// gives them: the accelerators that may be reclaimed.
func (l *leader) borrowed(d *account.Directory) []wire.Borrowed {
	used := make(map[account.Name]int)
	for e := range l.jobs.All() {
		if e.attempt == nil {
			continue
		}
		for _, m := range e.attempt.members {
			used[e.record.Spec.Account] += m.share.Accelerators.Count()
		}
	}
	var list []wire.Borrowed
	for _, a := range d.Accounts() {
		over := used[a.Name]
		for _, g := range a.Parameters.Guarantees {
			over -= g.Count * g.Shape.Normal().Workers * g.Shape.Accelerators
		}
		if over > 0 {
			list = append(list, wire.Borrowed{Account: a.Name, Accelerators: over})
		}
	}
	return list
}
