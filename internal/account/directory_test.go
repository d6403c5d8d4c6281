package account_test

import (
	"testing"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

func set(number revision.Number, value account.Value) account.Change {
	c := account.Change{Revision: number, Value: value}
	switch {
	case value.Template != nil:
		c.Subject = account.Subject{Kind: account.KindTemplate, Name: value.Template.Name}
	case value.Account != nil:
		c.Subject = account.Subject{Kind: account.KindAccount, Name: string(value.Account.Name)}
	}
	return c
}

func template(number revision.Number, queue, guaranteed int) account.Change {
	p := account.DefaultParameters()
	p.QueueLimit = queue
	p.Guarantees = []account.Guarantee{{Shape: floor.Shape{Accelerators: 8}, Count: guaranteed}}
	return set(number, account.Value{Template: &account.Template{Name: "council", Parameters: p}})
}

func parks(number revision.Number, queue *int) account.Change {
	return set(number, account.Value{Account: &account.Account{
		Name: "parks", Template: "council", Overrides: account.Overrides{QueueLimit: queue},
	}})
}

// TestResolve changes a template and looks what the account made from it gets.
func TestResolve(t *testing.T) {
	own := 7
	tests := []struct {
		name     string
		changes  []account.Change
		queue    int
		follower bool
	}{
		{"followed", []account.Change{template(1, 50, 1), parks(2, nil), template(3, 60, 1)}, 60, true},
		{"overridden", []account.Change{template(1, 50, 1), parks(2, &own), template(3, 60, 1)}, 7, false},
		{"no longer overridden", []account.Change{template(1, 50, 1), parks(2, &own), parks(3, nil)}, 50, true},
		{"late news", []account.Change{template(3, 60, 1), parks(2, nil), template(1, 50, 1)}, 60, false},
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
			if follows := len(before.Followers(after)) == 1; follows != test.follower {
				t.Errorf("followers are %v", before.Followers(after))
			}
		})
	}
}

// TestRaises compares the guarantees of two directories.
func TestRaises(t *testing.T) {
	base := account.NewDirectory(template(1, 50, 2), parks(2, nil))
	tests := []struct {
		name   string
		change account.Change
		raises bool
	}{
		{"the same", template(3, 60, 2), false},
		{"more", template(3, 50, 3), true},
		{"less", template(3, 50, 1), false},
		{"another account", set(3, account.Value{Account: &account.Account{Name: "ovals", Template: "council"}}), true},
		{"an account less", account.Change{Revision: 3, Subject: parks(2, nil).Subject}, false},
	}
	for _, test := range tests {
		if got := base.Raises(base.With(test.change)); got != test.raises {
			t.Errorf("%s: raises is %v", test.name, got)
		}
	}
}
