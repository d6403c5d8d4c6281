package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/operator"
)

// subjectArguments returns the usage text and the number of the arguments that
// identify a subject of a kind.
func subjectArguments(kind account.Kind) (string, int) {
	if kind == account.KindFloor {
		return "", 0
	}
	return "NAME", 1
}

// subjectCommand returns a command that calls run with the subject that the
// arguments identify.
func subjectCommand(kind account.Kind, name, usage string, flags []cli.Flag, run func(ctx context.Context, o operatorClient, s account.Subject) error) *cli.Command {
	argumentNames, count := subjectArguments(kind)
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: argumentNames,
		Flags:     flags,
		Action: operatorAction(argumentNames, count, func(ctx context.Context, o operatorClient, arguments []string) error {
			s := account.Subject{Kind: kind}
			if count > 0 {
				s.Name = arguments[0]
			}
			return run(ctx, o, s)
		}),
	}
}

// commonCommands returns the commands that all kinds of subjects have.
func commonCommands(kind account.Kind) []*cli.Command {
	return []*cli.Command{
		subjectCommand(kind, "get", "print the current value and which gates and agents hold it", operatorFlags(), getSubject),
		subjectCommand(kind, "delete", "delete", changeFlags(), deleteSubject),
		subjectCommand(kind, "history", "print the changes, newest first", operatorFlags(
			&cli.IntFlag{Name: "limit", Value: operator.DefaultHistory, Usage: "largest `number` of changes"},
		), printHistory),
		subjectCommand(kind, "diff", "print what differs between two revisions", operatorFlags(
			&cli.Uint64Flag{Name: "from", Usage: "older `revision`; the one before the newer if absent"},
			&cli.Uint64Flag{Name: "to", Usage: "newer `revision`; the newest if absent"},
		), printDiff),
		subjectCommand(kind, "rollback", "restore the value at a revision, as a new revision", changeFlags(
			&cli.Uint64Flag{Name: "to", Usage: "`revision` to restore", Required: true},
		), rollBack),
	}
}

func getSubject(ctx context.Context, o operatorClient, s account.Subject) error {
	var body operator.SubjectBody
	if err := o.call(ctx, http.MethodGet, subjectPath(s), requestOptions{}, &body); err != nil {
		return err
	}
	return o.print(body, func(w io.Writer) { printBody(w, body) })
}

func deleteSubject(ctx context.Context, o operatorClient, s account.Subject) error {
	return o.changeExisting(ctx, http.MethodDelete, s, "", nil, nil)
}

// rollBack restores the value that a subject had at the revision in the flag to.
// The subject may be deleted.
func rollBack(ctx context.Context, o operatorClient, s account.Subject) error {
	query := url.Values{"to": {strconv.FormatUint(o.command.Uint64("to"), 10)}}
	match, err := o.match(ctx, s)
	var operatorErr *OperatorError
	if err != nil && (!errors.As(err, &operatorErr) || operatorErr.Problem.Status != http.StatusNotFound) {
		return err
	}
	return o.change(ctx, http.MethodPost, s, "/rollback", match, nil, query)
}

func printHistory(ctx context.Context, o operatorClient, s account.Subject) error {
	var list operator.ListBody
	path := fmt.Sprintf("%s/history?limit=%d", subjectPath(s), o.command.Int("limit"))
	if err := o.call(ctx, http.MethodGet, path, requestOptions{}, &list); err != nil {
		return err
	}
	return o.print(list, func(w io.Writer) { printChanges(w, list) })
}

func printDiff(ctx context.Context, o operatorClient, s account.Subject) error {
	query := url.Values{}
	for _, side := range []string{"from", "to"} {
		if value := o.command.Uint64(side); value != 0 {
			query.Set(side, strconv.FormatUint(value, 10))
		}
	}
	var diff operator.DiffBody
	if err := o.call(ctx, http.MethodGet, subjectPath(s)+"/diff?"+query.Encode(), requestOptions{}, &diff); err != nil {
		return err
	}
	return o.print(diff, func(w io.Writer) { printFields(w, diff) })
}

// listCommand returns the command that lists all subjects of a kind.
func listCommand(kind account.Kind) *cli.Command {
	return &cli.Command{
		Name:  "list",
		Usage: "list all " + string(kind) + "s",
		Flags: operatorFlags(),
		Action: operatorAction("", 0, func(ctx context.Context, o operatorClient, _ []string) error {
			var list operator.ListBody
			if err := o.call(ctx, http.MethodGet, "/v1/"+string(kind)+"s", requestOptions{}, &list); err != nil {
				return err
			}
			return o.print(list, func(w io.Writer) { printList(w, list) })
		}),
	}
}
