package gate_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// operated is a region whose operators change settings. It checks after every
// step that no process goes back to an older revision, and that no gate takes
// new work under settings older than the bound.
type operated struct {
	*lab.Region
	t       *testing.T
	last    gate.RequestID
	edits   map[gate.RequestID]gate.Edit
	answers map[gate.RequestID]gate.Edited
	held    map[string]revision.Number
	first   map[revision.Number]time.Duration
}

func newOperated(t *testing.T, seed uint64, gates, agents int, options ...gate.Option) *operated {
	var nodes []machine.Node
	for i := range gates {
		nodes = append(nodes, machine.Node(fmt.Sprintf("gate-%d", i+1)))
	}
	o := &operated{
		Region:  lab.NewRegion(seed, gates, agents, append(options, gate.WithGates(nodes...))...),
		t:       t,
		edits:   make(map[gate.RequestID]gate.Edit),
		answers: make(map[gate.RequestID]gate.Edited),
		held:    make(map[string]revision.Number),
		first:   make(map[revision.Number]time.Duration),
	}
	o.Watch(o.check)
	return o
}

func (o *operated) check(trace lab.Trace) error {
	for _, effect := range trace.Effects {
		if edited, ok := effect.(gate.Edited); ok {
			o.answers[edited.Request] = edited
		}
		if send, ok := effect.(machine.Send); ok {
			if submit, ok := send.Body.(wire.Submit); ok && o.old(submit.Revision) {
				return fmt.Errorf("work is submitted under the old revision %d", submit.Revision)
			}
		}
		if commit, ok := effect.(machine.Commit); ok && admits(trace.Event, commit) && o.old(revisionOf(trace.Process)) {
			return fmt.Errorf("work is accepted under the old revision %d", revisionOf(trace.Process))
		}
	}
	number := revisionOf(trace.Process)
	name := fmt.Sprint(trace.Process.Node(), " ", trace.Process.Life())
	if number < o.held[name] {
		return fmt.Errorf("%s went from revision %d back to %d", name, o.held[name], number)
	}
	o.held[name] = number
	if _, ok := o.first[number]; !ok {
		o.first[number] = o.Elapsed()
	}
	return nil
}

// old reports whether a newer revision was known for longer than the bound, and
// the store was well meanwhile.
func (o *operated) old(held revision.Number) bool {
	for number, first := range o.first {
		if number > held && o.Elapsed()-first > gate.SettingsBound && !o.Store.FaultyWithin(gate.SettingsBound) {
			return true
		}
	}
	return false
}

// admits reports whether a leader takes a submission and makes a new job durable.
func admits(event machine.Event, commit machine.Commit) bool {
	message, _ := event.(machine.Message)
	if _, ok := message.Body.(wire.Submit); !ok {
		return false
	}
	for _, check := range commit.Txn.Checks {
		if check.Version != table.Absent || !strings.HasPrefix(string(check.Key), "live/") {
			continue
		}
		for _, write := range commit.Txn.Writes {
			if write.Key == check.Key && !write.Delete {
				return true
			}
		}
	}
	return false
}

func revisionOf(p *lab.Process) revision.Number {
	switch m := p.Machine().(type) {
	case *gate.Gate:
		_, number, _ := m.Settings()
		return number
	case interface{ Revision() revision.Number }:
		return m.Revision()
	case nil:
		return 0
	default:
		panic(fmt.Sprintf("%T holds no revision", m))
	}
}

// edit posts a change of an account's queue limit at a gate.
func (o *operated) edit(p *lab.Process, e gate.Edit, name string, queue int) gate.RequestID {
	o.last++
	e.Request = o.last
	e.ID = account.ChangeID(fmt.Sprint("change-", o.last))
	e.Author = "operator at " + string(p.Node())
	e.Subject = account.Subject{Kind: account.KindAccount, Name: name}
	if e.Value.Deleted() {
		e.Value.Account = &account.Account{Name: account.Name(name), Region: lab.RegionID}
	}
	e.Value.Account.Name = account.Name(name)
	e.Value.Account.Overrides.QueueLimit = &queue
	o.edits[e.Request] = e
	p.Post(e)
	return e.Request
}

// must runs until a change has its answer, which must be good.
func (o *operated) must(id gate.RequestID) account.Change {
	o.t.Helper()
	answer := o.answer(id)
	if answer.Err != nil {
		o.t.Fatalf("change %d: %v", id, answer.Err)
	}
	return answer.Change
}

func (o *operated) answer(id gate.RequestID) gate.Edited {
	o.t.Helper()
	o.until(time.Minute, func() bool {
		_, ok := o.answers[id]
		return ok
	})
	return o.answers[id]
}

func (o *operated) run(d time.Duration) {
	o.t.Helper()
	if err := o.Run(d); err != nil {
		o.t.Fatal(err)
	}
}

func (o *operated) until(limit time.Duration, holds func() bool) time.Duration {
	o.t.Helper()
	took, err := o.Until(limit, holds)
	if err != nil {
		o.t.Fatal(err)
	}
	return took
}

// everywhere reports whether all living gates and agents hold a revision.
func (o *operated) everywhere(number revision.Number) bool {
	for _, p := range o.Gates {
		if p.Up() && revisionOf(p) < number {
			return false
		}
	}
	for _, r := range o.Runners {
		if r.Process.Up() && revisionOf(r.Process) < number {
			return false
		}
	}
	return true
}

// changes returns the changes in the table by identity, and fails if a change
// was made twice or a revision is missing.
func (o *operated) changes() map[account.ChangeID]account.Change {
	o.t.Helper()
	found := make(map[account.ChangeID]account.Change)
	for i, row := range o.Store.Rows(account.ChangePrefix(lab.RegionID)) {
		c, err := account.Decode(row.Value)
		if err != nil {
			o.t.Fatal(err)
		}
		if _, twice := found[c.ID]; twice || c.Revision != revision.Number(i+1) {
			o.t.Errorf("change %s is at revision %d of %d", c.ID, c.Revision, i+1)
		}
		found[c.ID] = c
	}
	return found
}

// settled fails unless the table has every change that an operator was told is
// made, and none that he was told is not.
func (o *operated) settled() {
	o.t.Helper()
	made := o.changes()
	for id, answer := range o.answers {
		var unsettled *gate.UnsettledError
		_, ok := made[o.edits[id].ID]
		if told := answer.Err == nil; told != ok && !errors.As(answer.Err, &unsettled) {
			o.t.Errorf("change %s: told %v, made %v", o.edits[id].ID, answer.Err, ok)
		}
	}
}
