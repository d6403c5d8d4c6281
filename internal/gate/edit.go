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

	// editWriting waits until the store has answered.
	editWriting

	// editSettling waits to read back a change whose fate is not known.
	editSettling

	// editRepeating waits to write a change again that was not made yet.
	editRepeating
)

type (
	editStep int

	// editor makes operators' changes, one at a time.
	editor struct {
		directory *directory
		queue     []*edit
		number    uint64
	}

	// edit is a change on its way.
	edit struct {
		event     Edit
		step      editStep
		due       time.Time
		deadline  time.Time
		change    account.Change
		next      *account.Directory
		number    uint64
		borrowed  []wire.Borrowed
		written   bool
		uncertain bool
		done      bool
	}
)

func newEditor(d *directory) *editor {
	return &editor{directory: d}
}

func (x *editor) add(now time.Time, event Edit) {
	e := &edit{event: event, deadline: now.Add(x.directory.gate.config.AcceptTimeout)}
	x.queue = append(x.queue, e)
	if len(x.queue) == 1 {
		x.prepare(e)
	}
}

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
		x.ask(e)
	case editSettling:
		x.settle(e)
	case editRepeating:
		x.commit(e)
	case editWriting:
	}
}

// expire answers a change that could not be settled in time.
func (x *editor) expire(e *edit) {
	if e.written || e.uncertain {
		x.finish(e, Edited{Err: &UnsettledError{ID: e.event.ID}})
		return
	}
	x.finish(e, Edited{Err: &UnavailableError{Reason: "the change was not made: the store, or the leader, does not answer"}})
}

// wait puts the next step off.
func (x *editor) wait(e *edit, step editStep) {
	e.step = step
	e.due = x.directory.now.Add(x.directory.gate.config.Resend)
}

// prepare checks the change against the newest settings that are held.
func (x *editor) prepare(e *edit) {
	d := x.directory
	current, number, known := d.register.Get()
	if !known || d.register.Behind() || !d.head.known || d.head.revision != number {
		d.next = d.now
		x.wait(e, editPreparing)
		return
	}
	existing, ok := current.Change(e.event.Subject)
	if ok && existing.ID != "" && existing.ID == e.event.ID {
		x.finish(e, Edited{Change: existing, Directory: current})
		return
	}
	if err := e.event.raced(existing, ok); err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	e.change = account.Change{
		ID:       e.event.ID,
		Revision: number + 1,
		Previous: existing.Revision,
		Author:   e.event.Author,
		Time:     d.now.UTC(),
		Text:     e.event.Text,
		Subject:  e.event.Subject,
		Value:    e.event.Value,
	}
	if err := current.Check(e.change); err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	e.next = current.With(e.change)
	if e.event.DryRun || current.Raises(e.next) {
		x.ask(e)
		return
	}
	x.commit(e)
}

// raced returns a RacedError unless the subject is at the expected revision.
func (e Edit) raced(existing account.Change, ok bool) error {
	exists := ok && !existing.Value.Deleted()
	if exists == e.Create || (exists && existing.Revision != e.Match) {
		return &RacedError{Current: existing, Exists: exists}
	}
	return nil
}

// ask asks the leader to check the guarantees.
func (x *editor) ask(e *edit) {
	d := x.directory
	x.wait(e, editChecking)
	x.number++
	e.number = x.number
	row, err := json.Marshal(e.change)
	if err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	check := wire.Check{Number: e.number, Revision: e.change.Revision - 1, Row: row}
	if d.gate.leader != nil {
		if checked, ok := d.checkGuarantees(d.now, check); ok {
			x.checked(checked)
		}
		return
	}
	leader, _ := d.gate.elector.Lease()
	d.gate.send(leader.Holder, check)
}

// checked goes on with a change that the leader has checked.
func (x *editor) checked(m wire.Checked) {
	if len(x.queue) == 0 || x.queue[0].step != editChecking || x.queue[0].number != m.Number {
		return
	}
	e := x.queue[0]
	if r := m.Refused; r != nil {
		x.finish(e, Edited{Err: &GuaranteeError{Account: r.Account, Shape: r.Shape, Count: r.Count, Reason: r.Reason}})
		return
	}
	e.borrowed = m.Borrowed
	if e.event.DryRun {
		current, _, _ := x.directory.register.Get()
		x.finish(e, Edited{Change: e.change, Directory: e.next, Followers: current.Followers(e.next)})
		return
	}
	if x.directory.revision() != e.change.Revision-1 {
		x.prepare(e)
		return
	}
	x.commit(e)
}

// commit writes the change if the head has not moved.
func (x *editor) commit(e *edit) {
	d := x.directory
	txn, err := account.Transaction(d.gate.config.Region, d.head.version, e.change)
	if err != nil {
		x.finish(e, Edited{Err: err})
		return
	}
	e.step = editWriting
	e.written = true
	asked := d.now
	d.gate.store.Commit(txn, func(result machine.Stored) {
		e.written = false
		if e.done {
			return
		}
		var rejected *table.RejectedError
		switch {
		case result.Err == nil:
			d.head = head{known: true, revision: e.change.Revision, version: result.Rows[0].Version}
			x.accept(asked, e)
		case errors.As(result.Err, &rejected) && !e.uncertain:
			x.wait(e, editPreparing)
		default:
			var conflict *table.ConflictError
			e.uncertain = e.uncertain || !errors.As(result.Err, &conflict)
			x.settle(e)
		}
	})
}

// settle finds out whether the change was made, by its own row.
func (x *editor) settle(e *edit) {
	d := x.directory
	region := d.gate.config.Region
	e.step = editWriting
	asked := d.now
	keys := []table.Key{account.ChangeKey(region, e.change.Revision), account.HeadKey(region)}
	d.gate.store.Read(keys, func(result machine.Stored) {
		if e.done {
			return
		}
		if result.Err != nil {
			x.wait(e, editSettling)
			return
		}
		x.compare(asked, e, result.Rows)
	})
}

// compare takes the rows that were read back. A change row of another identity
// shows that this change lost its race and can never be made at its revision. No
// change row shows that it has not been made yet: it is written again under the
// same identity and condition.
func (x *editor) compare(asked time.Time, e *edit, rows []table.Row) {
	d := x.directory
	var newest revision.Number
	var made *account.Change
	for _, row := range rows {
		if row.Key == account.HeadKey(d.gate.config.Region) {
			newest, _ = d.readHead([]table.Row{row})
			continue
		}
		if c, err := account.Decode(row.Value); err == nil {
			made = &c
		}
	}
	switch {
	case made == nil && newest < e.change.Revision:
		x.wait(e, editRepeating)
	case made != nil && made.ID == e.change.ID:
		e.change = *made
		x.accept(asked, e)
	default:
		e.uncertain = false
		d.observe(d.now, max(newest, e.change.Revision))
		x.wait(e, editPreparing)
	}
}

// accept takes a change that is durable, and tells the other gates before it
// answers.
func (x *editor) accept(asked time.Time, e *edit) {
	d := x.directory
	before, _, _ := d.register.Get()
	followers := before.Followers(before.With(e.change))
	d.advance([]account.Change{e.change})
	d.register.Confirm(asked, e.change.Revision)
	d.gates.push(e.change)
	current, _, _ := d.register.Get()
	x.finish(e, Edited{Change: e.change, Directory: current, Followers: followers})
	d.spreadRevision(d.now)
}

// finish answers a change and goes on to the next.
func (x *editor) finish(e *edit, answer Edited) {
	e.done = true
	answer.Request = e.event.Request
	answer.Borrowed = e.borrowed
	x.directory.gate.emit(answer)
	x.queue = x.queue[1:]
	if len(x.queue) > 0 {
		x.prepare(x.queue[0])
	}
}
