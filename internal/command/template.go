package command

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/account"
)

// templatePatch is the request body that creates a template, or the JSON merge
// patch that changes one.
type templatePatch struct {
	Parameters parameterPatch `json:"parameters"`
}

func newTemplateCommand() *cli.Command {
	kind := account.KindTemplate
	return &cli.Command{
		Name:  "template",
		Usage: "create and change templates of accounts",
		Commands: append([]*cli.Command{
			subjectCommand(kind, "create", "create a template", changeFlags(parameterFlags()...), createTemplate),
			subjectCommand(kind, "set", "change parameters of a template, and of the accounts that do not override them",
				changeFlags(parameterFlags()...), setTemplate),
			listCommand(kind),
		}, commonCommands(kind)...),
	}
}

func createTemplate(ctx context.Context, o operatorClient, s account.Subject) error {
	parameters, err := readParameters(o.command)
	if err != nil {
		return err
	}
	return o.change(ctx, http.MethodPut, s, "", 0, templatePatch{Parameters: parameters}, nil)
}

func setTemplate(ctx context.Context, o operatorClient, s account.Subject) error {
	parameters, err := readParameters(o.command)
	if err != nil {
		return err
	}
	if len(parameters) == 0 {
		return &UsageError{Reason: "template set changes nothing: give a parameter"}
	}
	return o.changeExisting(ctx, http.MethodPatch, s, "", templatePatch{Parameters: parameters}, nil)
}
