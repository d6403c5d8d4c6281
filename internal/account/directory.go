package account

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

// Directory is an immutable snapshot of the settings of a region: the newest change
// of each subject.
type Directory struct {
	changes map[Subject]Change
}

// NewDirectory returns the directory that results from the changes, which may be in
// any order. For each subject the change with the highest revision counts.
func NewDirectory(changes ...Change) *Directory {
	d := &Directory{changes: make(map[Subject]Change, len(changes))}
	for _, c := range changes {
		d.put(c)
	}
	return d
}

// With returns a copy of the directory with the changes applied.
func (d *Directory) With(changes ...Change) *Directory {
	next := &Directory{changes: maps.Clone(d.changes)}
	for _, c := range changes {
		next.put(c)
	}
	return next
}

func (d *Directory) put(c Change) {
	if existing, ok := d.changes[c.Subject]; !ok || existing.Revision <= c.Revision {
		d.changes[c.Subject] = c
	}
}

// Newest returns the highest revision in the directory.
func (d *Directory) Newest() revision.Number {
	var newest revision.Number
	for _, c := range d.changes {
		newest = max(newest, c.Revision)
	}
	return newest
}

// Change returns the newest change of a subject, even one that deleted it, and false
// if there is none.
func (d *Directory) Change(s Subject) (Change, bool) {
	c, ok := d.changes[s]
	return c, ok
}

// Changes returns the newest change of each subject, sorted by kind and name.
func (d *Directory) Changes() []Change {
	return slices.SortedFunc(maps.Values(d.changes), func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Subject.Kind, y.Subject.Kind), cmp.Compare(x.Subject.Name, y.Subject.Name))
	})
}

// Template returns a template, and false if there is none of the name.
func (d *Directory) Template(name string) (Template, bool) {
	t := d.changes[Subject{Kind: KindTemplate, Name: name}].Value.Template
	if t == nil {
		return Template{}, false
	}
	return *t, true
}

// Account returns an account with resolved parameters, and false if there is none of
// the name.
func (d *Directory) Account(name Name) (Account, bool) {
	a := d.changes[Subject{Kind: KindAccount, Name: string(name)}].Value.Account
	if a == nil {
		return Account{}, false
	}
	return d.Resolve(*a), true
}

// Accounts returns all accounts with resolved parameters, sorted by name.
func (d *Directory) Accounts() []Account {
	var list []Account
	for _, c := range d.Changes() {
		if c.Value.Account != nil {
			list = append(list, d.Resolve(*c.Value.Account))
		}
	}
	return list
}

// Budgets returns the cooling budgets of the region.
func (d *Directory) Budgets() []Budget {
	f := d.changes[Subject{Kind: KindFloor}].Value.Floor
	if f == nil {
		return nil
	}
	return f.Budgets
}

// Resolve returns the account with the parameters that follow from its template and
// its overrides. An account with neither keeps its parameters.
func (d *Directory) Resolve(a Account) Account {
	if a.Template == "" && a.Overrides.Empty() {
		return a
	}
	base := DefaultParameters()
	if t, ok := d.Template(a.Template); ok {
		base = t.Parameters
	}
	a.Parameters = a.Overrides.ApplyTo(base)
	return a
}

// Affected returns the names of the accounts that exist in both directories and
// have other parameters in the other one.
func (d *Directory) Affected(other *Directory) []Name {
	var names []Name
	for _, a := range other.Accounts() {
		before, ok := d.Account(a.Name)
		if ok && !before.Parameters.Equal(a.Parameters) {
			names = append(names, a.Name)
		}
	}
	return names
}

// RaisesGuarantees reports whether the other directory guarantees any account more of
// any shape than this one.
func (d *Directory) RaisesGuarantees(other *Directory) bool {
	before := d.guaranteeCounts()
	for key, count := range other.guaranteeCounts() {
		if count > before[key] {
			return true
		}
	}
	return false
}

// guaranteeKey identifies a guarantee by its account and normalized shape.
type guaranteeKey struct {
	account Name
	shape   floor.Shape
}

func (d *Directory) guaranteeCounts() map[guaranteeKey]int {
	counts := make(map[guaranteeKey]int)
	for _, a := range d.Accounts() {
		for _, g := range a.Parameters.Guarantees {
			counts[guaranteeKey{account: a.Name, shape: g.Shape.WithDefaults()}] += g.Count
		}
	}
	return counts
}
