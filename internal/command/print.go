package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/operator"
)

// printBody prints a subject as a table of names and values.
func printBody(out io.Writer, b operator.SubjectBody) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	printRow := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	printRow(string(b.Kind), "%s", b.Name)
	if b.DryRun {
		printRow("dry run", "nothing was changed")
	}
	if b.Deleted {
		printRow("deleted", "yes")
	}
	if b.Template != "" {
		printRow("template", "%s", b.Template)
	}
	if b.Parameters != nil {
		printParameters(printRow, *b.Parameters, b.Overrides)
	}
	for _, budget := range b.Budgets {
		printRow("budget", "%s  %d W", cellName(budget), budget.Cooling)
	}
	if len(b.Tokens) > 0 {
		printRow("tokens", "%s", joinComma(b.Tokens))
	}
	if b.Token != "" {
		printRow("new token", "%s (shown once)", b.Token)
	}
	if b.Author != "" {
		printRow("revision", "%d by %s at %s %s", b.Revision, b.Author, b.Time.Format(time.RFC3339), b.Text)
	}
	if len(b.AffectedAccounts) > 0 {
		printRow("changes", "accounts %s", joinComma(b.AffectedAccounts))
	}
	for _, borrowed := range b.Borrowed {
		printRow("reclaimable", "%d accelerators of account %s", borrowed.Accelerators, borrowed.Account)
	}
	if b.Propagation != nil {
		printPropagation(printRow, *b.Propagation)
	}
}

// printParameters prints parameters and marks those that the account overrides.
func printParameters(printRow func(name, format string, values ...any), p account.Parameters, o *account.Overrides) {
	overrideMark := func(overridden bool) string {
		if overridden {
			return " (own)"
		}
		return ""
	}
	if o == nil {
		o = &account.Overrides{}
	}
	for _, g := range p.Guarantees {
		printRow("guarantee", "%s%s", guaranteeText(g), overrideMark(o.Guarantees != nil))
	}
	printRow("queue", "%d%s", p.QueueLimit, overrideMark(o.QueueLimit != nil))
	if len(p.Order) > 0 {
		printRow("order", "%s%s", joinComma(p.Order), overrideMark(o.Order != nil))
	}
	if len(p.Urgent) > 0 {
		printRow("urgent", "%s%s", joinComma(p.Urgent), overrideMark(o.Urgent != nil))
	}
	printRow("weights", "%g,%g%s", p.Weights.Completion, p.Weights.Fragmentation, overrideMark(o.Weights != nil))
}

// printPropagation prints how many gates and agents hold the subject's revision,
// and which settings revision each gate and each group of agents holds.
func printPropagation(printRow func(name, format string, values ...any), p operator.Propagation) {
	inForce := p.InForce
	printRow("in force", "at %d of %d gates, %d of %d agents", inForce.Gates, inForce.AllGates, inForce.Agents, inForce.AllAgents)
	for _, g := range p.Gates {
		printRow("gate", "%s  revision %d", g.Node, g.Revision)
	}
	for _, a := range p.Agents {
		printRow("agents", "%d at revision %d, one is %s", a.Agents, a.Revision, a.Worker)
	}
	if !p.Fresh {
		printRow("stale", "this gate cannot show that its settings are the newest")
	}
}

func printList(out io.Writer, list operator.ListBody) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "NAME\tTEMPLATE\tGUARANTEES\tQUEUE\tREVISION\tAUTHOR")
	for _, b := range list.Items {
		var p account.Parameters
		if b.Parameters != nil {
			p = *b.Parameters
		}
		var guarantees []string
		for _, g := range p.Guarantees {
			guarantees = append(guarantees, guaranteeText(g))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", b.Name, b.Template, strings.Join(guarantees, " "), p.QueueLimit, b.Revision, b.Author)
	}
}

func printChanges(out io.Writer, list operator.ListBody) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tTEXT")
	for _, b := range list.Items {
		text := b.Text
		if b.Deleted {
			text = strings.TrimSpace("deleted " + text)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", b.Revision, b.Time.Format(time.RFC3339), b.Author, text)
	}
}

func printFields(out io.Writer, diff operator.DiffBody) {
	fmt.Fprintf(out, "revision %d to %d\n", diff.From, diff.To)
	for _, f := range diff.Fields {
		fmt.Fprintf(out, "%s: %s -> %s\n", f.Field, f.From, f.To)
	}
}

func joinComma[T ~string](values []T) string {
	parts := make([]string, 0, len(values))
	for _, v := range values {
		parts = append(parts, string(v))
	}
	return strings.Join(parts, ",")
}
