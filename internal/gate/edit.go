package gate

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// editPreparing waits until the newest settings are held.
	editPreparing editStep = iota

	// editChecking waits until the leader has checked the guarantees.
	editChecking

	// editWriting waits until the table has answered.
	editWriting

	// editReadingBack waits to read back a change whose write is uncertain.
	editReadingBack

	// editRepeating waits to write a change again that was not written yet.
	editRepeating
)

type (
	// editStep is the stage of an edit.
	editStep int

	// editor carries out operators' changes of the settings, one at a time.
	// lastCheck is the number of the last check that it has asked the leader
	// for.
	editor struct {
		settings  *settings
		queue     []*edit
		lastCheck uint64
	}

	// edit is an operator's change in progress. due is when the step is tried
	// again. change is the change to write and next the settings with it.
	// checkNumber identifies the check by the leader. writeInFlight reports
	// that the transaction has no answer yet, uncertain that it may have taken
	// effect, and done that the operator has the answer.
	edit struct {
		event         Edit
		step          editStep
		due           time.Time
		deadline      time.Time
		change        account.Change
		next          *account.Directory
		checkNumber   uint64
		borrowed      []wire.Borrowed
		writeInFlight bool
		uncertain     bool
		done          bool
	}
)

func newEditor(s *settings) *editor {
	return &editor{settings: s}
}

// add queues a change and begins it if there is no other.
func (x *editor) add(now time.Time, event Edit) {
	e := &edit{event: event, deadline: now.Add(x.settings.gate.config.AcceptTimeout)}
	x.queue = append(x.queue, e)
	if len(x.queue) == 1 {
		x.prepare(e)
	}
}

// tick expires changes and retries the step of the current one.
func (x *editor) tick(now time.Time) {
	for len(x.queue) > 0 && !now.Before(x.queue[0].deadline) {
		x.expire(x.queue[0])
	}
	if len(x.queue) == 0 || now.Before(x.queue[0].due) {
		return
	}
	switch e := x.queue[0]; e.step {
	case editPreparing:
		x.prepare(e)
	case editChecking:
		x.askLeader(e)
	case editReadingBack:
		x.readBack(e)
	case editRepeating:
		x.commit(e)
	case editWriting:
	}
}

// expire answers a change that was not completed by its deadline.
func (x *editor) expire(e *edit) {
	if e.writeInFlight || e.uncertain {
		x.finish(e, Edited{Err: &UncertainChangeError{ID: e.event.ID}})
		return
	}
	x.finish(e, Edited{Err: &UnavailableError{Reason: "the change was not made: the table or the leader did not answer in time"}})
}

// postpone schedules a step to be tried later.
func (x *editor) postpone(e *edit, step editStep) {
	e.step = step
	e.due = x.settings.now.Add(x.settings.gate.config.ResendInterval)
}

// prepare checks the change against the newest settings held, and goes on to
// the leader's check of the guarantees, or to the write if no guarantee is
// raised and it is no dry run.
func (x *editor) prepare(e *edit) {
	s := x.settings
	current, number, known := s.register.Get()
	if !known || s.register.Behind() || !s.head.known || s.head.revision != number {
		s.nextPoll = s.now
		x.postpone(e, editPreparing)
		return
	}
	existing, ok := current.Change(e.event.Subject)
	if ok && existing.ID != "" && existing.ID == e.event.ID {
		x.finish(e, Edited{Change: existing, Directory: current})
		return
	}
	if err := e.event.checkMatch(existing, ok); err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	e.change = account.Change{
		ID:       e.event.ID,
		Revision: number + 1,
		Previous: existing.Revision,
		Author:   e.event.Author,
		Time:     s.now.UTC(),
		Text:     e.event.Text,
		Subject:  e.event.Subject,
		Value:    e.event.Value,
	}
	if err := current.Check(e.change); err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	e.next = current.With(e.change)
	if e.event.DryRun || current.RaisesGuarantees(e.next) {
		x.askLeader(e)
		return
	}
	x.commit(e)
}

// checkMatch returns a RevisionConflictError unless the subject is at the
// expected revision or, with Create set, does not exist.
func (e Edit) checkMatch(existing account.Change, ok bool) error {
	exists := ok && !existing.Value.Deleted()
	if exists == e.Create || (exists && existing.Revision != e.Match) {
		return &RevisionConflictError{Current: existing, Exists: exists}
	}
	return nil
}

// askLeader has the leader check the guarantees after the change.
func (x *editor) askLeader(e *edit) {
	s := x.settings
	x.postpone(e, editChecking)
	x.lastCheck++
	e.checkNumber = x.lastCheck
	row, err := json.Marshal(e.change)
	if err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	check := wire.GuaranteeCheck{Number: e.checkNumber, Revision: e.change.Revision - 1, Row: row}
	if s.gate.leader != nil {
		if checked, ok := s.checkGuarantees(s.now, check); ok {
			x.handleGuaranteeCheckResult(checked)
		}
		return
	}
	leader, _ := s.gate.elector.Lease()
	s.gate.send(leader.Holder, check)
}

// handleGuaranteeCheckResult goes on with a change once the leader has checked it. If the
// settings have advanced since, the change is prepared again.
func (x *editor) handleGuaranteeCheckResult(m wire.GuaranteeCheckResult) {
	if len(x.queue) == 0 || x.queue[0].step != editChecking || x.queue[0].checkNumber != m.Number {
		return
	}
	e := x.queue[0]
	if r := m.Refused; r != nil {
		x.finish(e, Edited{Err: &GuaranteeError{Account: r.Account, Shape: r.Shape, Count: r.Count, Reason: r.Reason}})
		return
	}
	e.borrowed = m.Borrowed
	if e.event.DryRun {
		current, _, _ := x.settings.register.Get()
		x.finish(e, Edited{Change: e.change, Directory: e.next, AffectedAccounts: current.Affected(e.next)})
		return
	}
	if x.settings.revision() != e.change.Revision-1 {
		x.prepare(e)
		return
	}
	x.commit(e)
}

// commit writes the change on the condition that the head row has not changed.
func (x *editor) commit(e *edit) {
	s := x.settings
	txn, err := account.Transaction(s.gate.config.Region, s.head.version, e.change)
	if err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	e.step = editWriting
	e.writeInFlight = true
	askedAt := s.now
	s.gate.store.Commit(txn, func(result machine.StoreResult) {
		e.writeInFlight = false
		if e.done {
			return
		}
		var rejected *table.RejectedError
		switch {
		case result.Err == nil:
			s.head = head{known: true, revision: e.change.Revision, version: result.Rows[0].Version}
			x.accept(askedAt, e)
		case errors.As(result.Err, &rejected) && !e.uncertain:
			x.postpone(e, editPreparing)
		default:
			var conflict *table.ConflictError
			e.uncertain = e.uncertain || !errors.As(result.Err, &conflict)
			x.readBack(e)
		}
	})
}

// readBack reads the row of the change and the head row, to find out whether
// the write took effect.
func (x *editor) readBack(e *edit) {
	s := x.settings
	region := s.gate.config.Region
	e.step = editWriting
	askedAt := s.now
	keys := []table.Key{account.ChangeKey(region, e.change.Revision), account.HeadKey(region)}
	s.gate.store.Read(keys, func(result machine.StoreResult) {
		if e.done {
			return
		}
		if result.Err != nil {
			x.postpone(e, editReadingBack)
			return
		}
		x.resolveReadBack(askedAt, e, result.Rows)
	})
}

// resolveReadBack decides from the rows that were read back. A change row with
// another ID shows that another change took the revision, so that this one can
// no longer be written at it and is prepared again. If there is no change row,
// the write has not taken effect yet, and it is repeated with the same ID and
// condition.
func (x *editor) resolveReadBack(askedAt time.Time, e *edit, rows []table.Row) {
	s := x.settings
	var newest revision.Number
	var stored *account.Change
	for _, row := range rows {
		if row.Key == account.HeadKey(s.gate.config.Region) {
			newest, _ = s.readHead([]table.Row{row})
			continue
		}
		if c, err := account.Decode(row.Value); err == nil {
			stored = &c
		}
	}
	switch {
	case stored == nil && newest < e.change.Revision:
		x.postpone(e, editRepeating)
	case stored != nil && stored.ID == e.change.ID:
		e.change = *stored
		x.accept(askedAt, e)
	default:
		e.uncertain = false
		s.observe(s.now, max(newest, e.change.Revision))
		x.postpone(e, editPreparing)
	}
}

// accept applies a change that is durable, and sends it to the other gates
// before it answers the operator.
func (x *editor) accept(askedAt time.Time, e *edit) {
	s := x.settings
	before, _, _ := s.register.Get()
	affectedAccounts := before.Affected(before.With(e.change))
	s.advance([]account.Change{e.change})
	s.register.Confirm(askedAt, e.change.Revision)
	s.exchange.push(e.change)
	current, _, _ := s.register.Get()
	x.finish(e, Edited{Change: e.change, Directory: current, AffectedAccounts: affectedAccounts})
	s.spreadRevision(s.now)
}

// finish answers the operator and begins the next change.
func (x *editor) finish(e *edit, answer Edited) {
	e.done = true
	answer.Request = e.event.Request
	answer.Borrowed = e.borrowed
	x.settings.gate.emit(answer)
	x.queue = x.queue[1:]
	if len(x.queue) > 0 {
		x.prepare(x.queue[0])
	}
}
