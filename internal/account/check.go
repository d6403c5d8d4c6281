package account

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// MaxName is the largest length in bytes of a name.
	MaxName = 63

	// MaxText is the largest length in bytes of the comment on a change.
	MaxText = 500

	// MaxQueueLimit is the largest queue limit that an account may have.
	MaxQueueLimit = 1_000_000

	// MaxCount is the upper bound of a guarantee's count, of the workers and cores
	// of a shape, and of the entries of a list.
	MaxCount = 4096

	// MaxMemory is the largest memory of a guaranteed shape.
	MaxMemory floor.MiB = 64 << 20

	// MaxCooling is the largest cooling budget.
	MaxCooling floor.Watts = 1_000_000_000

	// MaxTokens is the largest number of tokens of an account.
	MaxTokens = 16
)

// FieldError says which field of a change is invalid and why.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string {
	return e.Field + ": " + e.Reason
}

// Check returns a FieldError if the change, applied to the directory, would be
// invalid.
func (d *Directory) Check(c Change) error {
	if len(c.Text) > MaxText {
		return fieldErrorf("text", "must have up to %d bytes", MaxText)
	}
	if c.Subject.Kind != KindFloor && !ValidName(c.Subject.Name) {
		return fieldErrorf("name", "must have 1 to %d letters, digits, dots, dashes and underscores", MaxName)
	}
	switch {
	case c.Value.Deleted():
		return d.checkDeleted(c.Subject)
	case c.Value.Template != nil:
		return c.Value.Template.Parameters.check("parameters")
	case c.Value.Account != nil:
		if string(c.Value.Account.Name) != c.Subject.Name {
			return fieldErrorf("name", "must be %s", c.Subject.Name)
		}
		return d.checkAccount(*c.Value.Account)
	default:
		return checkBudgets(c.Value.Floor.Budgets)
	}
}

func (d *Directory) checkDeleted(s Subject) error {
	if s.Kind != KindTemplate {
		return nil
	}
	for _, a := range d.Accounts() {
		if a.Template == s.Name {
			return fieldErrorf("name", "account %s is made from the template", a.Name)
		}
	}
	return nil
}

func (d *Directory) checkAccount(a Account) error {
	if _, ok := d.Template(a.Template); a.Template != "" && !ok {
		return fieldErrorf("template", "there is no template %q", a.Template)
	}
	if len(a.Tokens) > MaxTokens {
		return fieldErrorf("tokens", "must have up to %d tokens", MaxTokens)
	}
	for _, t := range a.Tokens {
		if sum, err := hex.DecodeString(string(t)); err != nil || len(sum) != 32 {
			return fieldErrorf("tokens", "must be SHA-256 hashes in hexadecimal")
		}
	}
	return d.Resolve(a).Parameters.check("overrides")
}

func (p Parameters) check(field string) error {
	if p.QueueLimit < 1 || p.QueueLimit > MaxQueueLimit {
		return fieldErrorf(field+".queue", "must be 1 to %d", MaxQueueLimit)
	}
	if len(p.Guarantees) > MaxCount {
		return fieldErrorf(field+".guarantees", "must have up to %d entries", MaxCount)
	}
	for i, g := range p.Guarantees {
		if err := g.check(fmt.Sprintf("%s.guarantees[%d]", field, i)); err != nil {
			return err
		}
	}
	if err := checkClasses(field+".order", p.Order); err != nil {
		return err
	}
	if err := checkClasses(field+".urgent", p.Urgent); err != nil {
		return err
	}
	return p.Weights.check(field + ".weights")
}

func (g Guarantee) check(field string) error {
	s := g.Shape
	switch {
	case g.Count < 1 || g.Count > MaxCount:
		return fieldErrorf(field+".count", "must be 1 to %d", MaxCount)
	case s.Workers < 0 || s.Workers > MaxCount:
		return fieldErrorf(field+".shape.workers", "must be 1 to %d", MaxCount)
	case s.Accelerators < 0 || s.Accelerators > floor.MaxAccelerators:
		return fieldErrorf(field+".shape.accelerators", "must be 0 to %d", floor.MaxAccelerators)
	case s.Cores < 0 || s.Cores > MaxCount:
		return fieldErrorf(field+".shape.cores", "must be 1 to %d", MaxCount)
	case s.Memory < 0 || s.Memory > MaxMemory:
		return fieldErrorf(field+".shape.memory", "must be 0 to %d MiB", MaxMemory)
	case s.Adjacency == floor.AdjacentWorker && s.Workers > 1:
		return fieldErrorf(field+".shape.adjacency", "several workers cannot be adjacent on one worker")
	}
	switch s.Adjacency {
	case "", floor.AdjacentWorker, floor.AdjacentRack, floor.AdjacentDataCentre, floor.AdjacentRegion:
		return nil
	default:
		return fieldErrorf(field+".shape.adjacency", "must be worker, rack, datacentre or region")
	}
}

func (w Weights) check(field string) error {
	for _, weight := range []float64{w.Completion, w.Fragmentation} {
		if math.IsNaN(weight) || math.IsInf(weight, 0) || weight < 0 {
			return fieldErrorf(field, "must be finite numbers of at least zero")
		}
	}
	if w.Completion+w.Fragmentation == 0 {
		return fieldErrorf(field, "at least one must be above zero")
	}
	return nil
}

func checkClasses(field string, classes []Class) error {
	if len(classes) > MaxCount {
		return fieldErrorf(field, "must have up to %d entries", MaxCount)
	}
	for i, c := range classes {
		if !ValidName(string(c)) {
			return fieldErrorf(fmt.Sprintf("%s[%d]", field, i), "must be a valid class name")
		}
		if slices.Contains(classes[:i], c) {
			return fieldErrorf(fmt.Sprintf("%s[%d]", field, i), "class %s is there twice", c)
		}
	}
	return nil
}

func checkBudgets(budgets []Budget) error {
	if len(budgets) > MaxCount {
		return fieldErrorf("budgets", "must have up to %d entries", MaxCount)
	}
	for i, b := range budgets {
		field := fmt.Sprintf("budgets[%d]", i)
		switch {
		case b.Cooling < 1 || b.Cooling > MaxCooling:
			return fieldErrorf(field+".cooling", "must be 1 to %d watts", MaxCooling)
		case b.Rack != "" && b.DataCentre == "":
			return fieldErrorf(field+".datacentre", "must be set if a rack is set")
		case slices.ContainsFunc(budgets[:i], func(o Budget) bool { return o.DataCentre == b.DataCentre && o.Rack == b.Rack }):
			return fieldErrorf(field, "an earlier entry sets the same budget")
		}
	}
	return nil
}

// ValidName reports whether a name may be that of a template, an account or a class:
// 1 to MaxName ASCII letters, digits, dashes, dots and underscores. The names . and ..
// are invalid, as they stand for directories in paths.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '.', c == '_':
		default:
			return false
		}
	}
	return name != "." && name != ".."
}

func fieldErrorf(field, format string, values ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, values...)}
}
