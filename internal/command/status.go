package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/console"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// statusFlags returns the flags of operators' commands that read the state of a
// region from a gate.
func statusFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "gate", Value: "http://127.0.0.1:7100", Usage: "base `URL` of a gate", Sources: cli.EnvVars("LOVAGEROAD_GATE")},
		&cli.StringFlag{Name: "token", Usage: "`token` of the operator", Sources: cli.EnvVars("LOVAGEROAD_OPERATOR")},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "`format` of the output: text or json"},
	}
}

func newStatusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the workers, queues and guarantees of a region",
		Flags: statusFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var status console.Status
			return printDocument(ctx, c, "/v1/status", &status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print why a job waits and which jobs block it",
		ArgsUsage: "ID",
		Flags:     statusFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			id := c.Args().First()
			if id == "" || c.Args().Len() > 1 {
				return &UsageError{Reason: "job explain takes the id of one job"}
			}
			var explanation scheduler.Explanation
			return printDocument(ctx, c, "/v1/explanations/"+id, &explanation, func(w io.Writer) { printExplanation(w, explanation) })
		},
	}
}

// printDocument gets a JSON document from the gate. As the flag output selects, it
// prints the JSON unchanged, or decodes it into document and calls printText.
func printDocument(ctx context.Context, c *cli.Command, path string, document any, printText func(w io.Writer)) error {
	format := c.String("output")
	if format != "text" && format != "json" {
		return &UsageError{Reason: "output is text or json"}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.String("gate")+path, nil)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.String("token"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, data)
	}
	if format == "json" {
		_, err := c.Root().Writer.Write(data)
		return err
	}
	if err := json.Unmarshal(data, document); err != nil {
		return err
	}
	printText(c.Root().Writer)
	return nil
}

func printStatus(w io.Writer, status console.Status) {
	fmt.Fprintf(w, "leader %s, epoch %d, fragmentation %.2f\n\n", status.Leader.Holder, status.Leader.Epoch, status.Fragmentation)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DATA CENTRE\tRACK\tWORKER\tBUSY\tSLOTS\tCORES\tSTATE")
	for _, s := range status.Workers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\t%s\n", s.Worker.DataCentre, s.Worker.Rack, s.Worker.ID,
			s.Busy.Count(), s.Worker.Accelerators, s.Slots, s.Worker.Slots, s.Cores, s.Worker.Cores, stateOf(s))
	}
	fmt.Fprintln(t, "\nACCOUNT\tWAITING\tRUNNING\tAT RISK")
	for _, q := range status.Queues {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\n", q.Account, q.Waiting, q.Running, q.AtRisk)
	}
	if err := t.Flush(); err != nil {
		return
	}
}

func stateOf(s scheduler.WorkerState) string {
	switch {
	case s.Quarantined:
		return "quarantined"
	case s.Draining:
		return "leaving"
	default:
		return "ready"
	}
}

func printExplanation(w io.Writer, explanation scheduler.Explanation) {
	if !explanation.Waiting {
		fmt.Fprintf(w, "job %s does not wait: it runs\n", explanation.Job)
		return
	}
	fmt.Fprintf(w, "job %s waits at place %d: %s\n", explanation.Job, explanation.Position, explanation.Reason)
	for _, blocker := range explanation.Blockers {
		fmt.Fprintf(w, "  in its way: job %s\n", blocker)
	}
	if !explanation.Reserved.IsZero() {
		fmt.Fprintf(w, "  place reserved for %s\n", explanation.Reserved.Format("2006-01-02 15:04:05"))
	}
}
