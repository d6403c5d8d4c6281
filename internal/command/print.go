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

// printBody prints a subject for people.
func printBody(out io.Writer, b operator.Body) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	row := func(name, format string, values ...any) {
		fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row(string(b.Kind), "%s", b.Name)
	if b.DryRun {
		row("dry run", "nothing was changed")
	}
	if b.Deleted {
		row("deleted", "yes")
	}
	if b.Template != "" {
		row("template", "%s", b.Template)
	}
	if b.Parameters != nil {
		printParameters(row, *b.Parameters, b.Overrides)
	}
	for _, budget := range b.Budgets {
		row("budget", "%s  %d W", cellName(budget), budget.Cooling)
	}
	if len(b.Tokens) > 0 {
		row("tokens", "%s", join(b.Tokens))
	}
	if b.Token != "" {
		row("new token", "%s (shown once)", b.Token)
	}
	if b.Author != "" {
		row("revision", "%d by %s at %s %s", b.Revision, b.Author, b.Time.Format(time.RFC3339), b.Text)
	}
	if len(b.Followers) > 0 {
		row("changes", "accounts %s", join(b.Followers))
	}
	for _, borrowed := range b.Borrowed {
		row("reclaimable", "%d accelerators of account %s", borrowed.Accelerators, borrowed.Account)
	}
	if b.Spread != nil {
		printSpread(row, *b.Spread)
	}
}

func printParameters(row func(name, format string, values ...any), p account.Parameters, o *account.Overrides) {
	mark := func(own bool) string {
		if own {
			return " (own)"
		}
		return ""
	}
	if o == nil {
		o = &account.Overrides{}
	}
	for _, g := range p.Guarantees {
		row("guarantee", "%s%s", guaranteeText(g), mark(o.Guarantees != nil))
	}
	row("queue", "%d%s", p.QueueLimit, mark(o.QueueLimit != nil))
	if len(p.Order) > 0 {
		row("order", "%s%s", join(p.Order), mark(o.Order != nil))
	}
	if len(p.Urgent) > 0 {
		row("urgent", "%s%s", join(p.Urgent), mark(o.Urgent != nil))
	}
	row("weights", "%g,%g%s", p.Weights.Completion, p.Weights.Fragmentation, mark(o.Weights != nil))
}

func printSpread(row func(name, format string, values ...any), s operator.Spread) {
	r := s.InForce
	row("in force", "at %d of %d gates, %d of %d agents", r.Gates, r.AllGates, r.Agents, r.AllAgents)
	for _, g := range s.Gates {
		row("gate", "%s  revision %d", g.Node, g.Revision)
	}
	for _, a := range s.Agents {
		row("agents", "%d at revision %d, one is %s", a.Agents, a.Revision, a.Worker)
	}
	if !s.Fresh {
		row("stale", "this gate cannot show that its settings are the newest")
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

func join[T ~string](values []T) string {
	parts := make([]string, 0, len(values))
	for _, v := range values {
		parts = append(parts, string(v))
	}
	return strings.Join(parts, ",")
}
