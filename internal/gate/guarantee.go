package gate

import (
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// handleGuaranteeCheck answers a gate that asks whether the floor can satisfy the
// guarantees.
func (s *settings) handleGuaranteeCheck(now time.Time, from machine.Node, m wire.GuaranteeCheck) {
	if checked, ok := s.checkGuarantees(now, m); ok {
		s.gate.send(from, checked)
	}
}

// checkGuarantees checks the guarantees after a change. It returns false if
// this gate cannot decide: it does not lead, it does not hold the revision that
// the change follows, or it has not heard from all agents yet and the missing
// workers may satisfy them.
func (s *settings) checkGuarantees(now time.Time, m wire.GuaranteeCheck) (wire.GuaranteeCheckResult, bool) {
	s.observe(now, m.Revision)
	current, number, known := s.register.Get()
	l := s.gate.leader
	c, malformed := account.Decode(m.Row)
	if l == nil || !l.ready || !known || number < m.Revision || malformed != nil {
		return wire.GuaranteeCheckResult{}, false
	}
	next := current.With(c)
	var err error
	if current.RaisesGuarantees(next) {
		err = l.policy.CheckAccounts(next.Accounts())
	}
	if (err != nil || len(l.upstreams) == 0) && !l.floorKnown(now) {
		return wire.GuaranteeCheckResult{}, false
	}
	return wire.GuaranteeCheckResult{
		Number:   m.Number,
		Refused:  refusedGuarantee(err),
		Borrowed: l.borrowed(next),
	}, true
}

// refusedGuarantee returns the policy's error as a message, or nil if there is
// none.
func refusedGuarantee(err error) *wire.Refused {
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

// borrowed returns how many accelerators each account would use beyond its
// guarantees with the accounts of the directory. These may be reclaimed.
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
		excess := used[a.Name]
		for _, g := range a.Parameters.Guarantees {
			excess -= g.Count * g.Shape.WithDefaults().Workers * g.Shape.Accelerators
		}
		if excess > 0 {
			list = append(list, wire.Borrowed{Account: a.Name, Accelerators: excess})
		}
	}
	return list
}
