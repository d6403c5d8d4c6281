package account_test

import (
	"testing"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

func newChange(number revision.Number, value account.Value) account.Change {
	c := account.Change{Revision: number, Value: value}
	switch {
	case value.Template != nil:
		c.Subject = account.Subject{Kind: account.KindTemplate, Name: value.Template.Name}
	case value.Account != nil:
		c.Subject = account.Subject{Kind: account.KindAccount, Name: string(value.Account.Name)}
	}
	return c
}

func templateChange(number revision.Number, queue, guaranteed int) account.Change {
	p := account.DefaultParameters()
	p.QueueLimit = queue
	p.Guarantees = []account.Guarantee{{Shape: floor.Shape{Accelerators: 8}, Count: guaranteed}}
	return newChange(number, account.Value{Template: &account.Template{Name: "council", Parameters: p}})
}

func parksChange(number revision.Number, queue *int) account.Change {
	return newChange(number, account.Value{Account: &account.Account{
		Name: "parks", Template: "council", Overrides: account.Overrides{QueueLimit: queue},
	}})
}

// TestResolve checks which queue limit an account gets, and whether Affected lists
// it, after a change of its template or its overrides.
func TestResolve(t *testing.T) {
	ownLimit := 7
	tests := []struct {
		name     string
		changes  []account.Change
		queue    int
		affected bool
	}{
		{"followed", []account.Change{templateChange(1, 50, 1), parksChange(2, nil), templateChange(3, 60, 1)}, 60, true},
		{"overridden", []account.Change{templateChange(1, 50, 1), parksChange(2, &ownLimit), templateChange(3, 60, 1)}, 7, false},
		{"no longer overridden", []account.Change{templateChange(1, 50, 1), parksChange(2, &ownLimit), parksChange(3, nil)}, 50, true},
		{"late change", []account.Change{templateChange(3, 60, 1), parksChange(2, nil), templateChange(1, 50, 1)}, 60, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			last := len(test.changes) - 1
			before := account.NewDirectory(test.changes[:last]...)
			after := before.With(test.changes[last])
			a, ok := after.Account("parks")
			if !ok || a.Parameters.QueueLimit != test.queue {
				t.Errorf("got %+v", a.Parameters)
			}
			if affected := len(before.Affected(after)) == 1; affected != test.affected {
				t.Errorf("affected accounts: %v", before.Affected(after))
			}
		})
	}
}

// TestRaises checks that RaisesGuarantees reports new and raised guarantees only.
func TestRaises(t *testing.T) {
	base := account.NewDirectory(templateChange(1, 50, 2), parksChange(2, nil))
	tests := []struct {
		name   string
		change account.Change
		raises bool
	}{
		{"the same", templateChange(3, 60, 2), false},
		{"more", templateChange(3, 50, 3), true},
		{"less", templateChange(3, 50, 1), false},
		{"another account", newChange(3, account.Value{Account: &account.Account{Name: "ovals", Template: "council"}}), true},
		{"an account less", account.Change{Revision: 3, Subject: parksChange(2, nil).Subject}, false},
	}
	for _, test := range tests {
		if got := base.RaisesGuarantees(base.With(test.change)); got != test.raises {
			t.Errorf("%s: raises is %v", test.name, got)
		}
	}
}
