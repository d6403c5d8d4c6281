package account

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

// Directory is the settings of a region: the newest change of each subject. It
// is not changed once it is made.
type Directory struct {
	changes map[Subject]Change
}

// NewDirectory returns the directory that the newest changes of all subjects
// make. Of several changes of one subject the one with the highest revision
// counts.
func NewDirectory(changes ...Change) *Directory {
	d := &Directory{changes: make(map[Subject]Change, len(changes))}
	for _, c := range changes {
		d.put(c)
	}
	return d
}

// With returns the directory with changes applied.
func (d *Directory) With(changes ...Change) *Directory {
	next := &Directory{changes: maps.Clone(d.changes)}
	for _, c := range changes {
		next.put(c)
	}
	return next
}

func (d *Directory) put(c Change) {
	if have, ok := d.changes[c.Subject]; !ok || have.Revision <= c.Revision {
		d.changes[c.Subject] = c
	}
}

// Newest returns the highest revision among the subjects.
func (d *Directory) Newest() revision.Number {
	var newest revision.Number
	for _, c := range d.changes {
		newest = max(newest, c.Revision)
	}
	return newest
}

// Change returns the newest change of a subject, also if it deleted the subject,
// and false if there never was one.
func (d *Directory) Change(s Subject) (Change, bool) {
	c, ok := d.changes[s]
	return c, ok
}

// Changes returns the newest changes of all subjects, by kind and name.
func (d *Directory) Changes() []Change {
	return slices.SortedFunc(maps.Values(d.changes), func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Subject.Kind, y.Subject.Kind), cmp.Compare(x.Subject.Name, y.Subject.Name))
	})
}

// Template returns a template.
func (d *Directory) Template(name string) (Template, bool) {
	t := d.changes[Subject{Kind: KindTemplate, Name: name}].Value.Template
	if t == nil {
		return Template{}, false
	}
	return *t, true
}

// Account returns an account with its parameters resolved.
func (d *Directory) Account(name Name) (Account, bool) {
	a := d.changes[Subject{Kind: KindAccount, Name: string(name)}].Value.Account
	if a == nil {
		return Account{}, false
	}
	return d.Resolve(*a), true
}

// Accounts returns all accounts with their parameters resolved, by name.
func (d *Directory) Accounts() []Account {
	var list []Account
	for _, c := range d.Changes() {
		if c.Value.Account != nil {
			list = append(list, d.Resolve(*c.Value.Account))
		}
	}
	return list
}

// Budgets returns the cooling budgets.
func (d *Directory) Budgets() []Budget {
	f := d.changes[Subject{Kind: KindFloor}].Value.Floor
	if f == nil {
		return nil
	}
	return f.Budgets
}

// Resolve returns the account with the parameters that its template and its
// overrides give it. An account with neither keeps the parameters it has.
func (d *Directory) Resolve(a Account) Account {
	if a.Template == "" && a.Overrides.Empty() {
		return a
	}
	base := DefaultParameters()
	if t, ok := d.Template(a.Template); ok {
		base = t.Parameters
	}
	a.Parameters = a.Overrides.Over(base)
	return a
}

// Followers returns the accounts whose parameters differ in another directory.
func (d *Directory) Followers(other *Directory) []Name {
	var names []Name
	for _, a := range other.Accounts() {
		before, ok := d.Account(a.Name)
		if ok && !before.Parameters.Same(a.Parameters) {
			names = append(names, a.Name)
		}
	}
	return names
}

// Raises reports whether another directory guarantees an account more of any
// shape than this one.
func (d *Directory) Raises(other *Directory) bool {
	before := d.guaranteed()
	for promise, count := range other.guaranteed() {
		if count > before[promise] {
			return true
		}
	}
	return false
}

// promise is a shape that an account is guaranteed.
type promise struct {
	account Name
	shape   floor.Shape
}

func (d *Directory) guaranteed() map[promise]int {
	counts := make(map[promise]int)
	for _, a := range d.Accounts() {
		for _, g := range a.Parameters.Guarantees {
			counts[promise{account: a.Name, shape: g.Shape.Normal()}] += g.Count
		}
	}
	return counts
}
