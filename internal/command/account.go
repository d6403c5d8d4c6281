package command

import (
	"context"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/account"
)

// accountPatch is the JSON merge patch that changes an account.
type accountPatch struct {
	Template  *string        `json:"template,omitempty"`
	Overrides parameterPatch `json:"overrides,omitempty"`
}

func newAccountCommand() *cli.Command {
	template := &cli.StringFlag{Name: "template", Usage: "`template` that gives the parameters that the account does not override"}
	follow := &cli.StringSliceFlag{Name: "follow", Usage: "`parameters` to reset to the values of the template"}
	kind := account.KindAccount
	return &cli.Command{
		Name:  "account",
		Usage: "create, change and view client accounts",
		Commands: append([]*cli.Command{
			subjectCommand(kind, "create", "create an account and print its first token",
				changeFlags(append(parameterFlags(), template)...), createAccount),
			subjectCommand(kind, "set", "change parameters of an account, or its template",
				changeFlags(append(parameterFlags(), template, follow)...), setAccount),
			listCommand(kind),
			newTokenCommand(),
		}, commonCommands(kind)...),
	}
}

// readAccountPatch returns the patch that the flags describe.
func readAccountPatch(c *cli.Command) (accountPatch, error) {
	overrides, err := readParameters(c)
	if err != nil {
		return accountPatch{}, err
	}
	patch := accountPatch{Overrides: overrides}
	if c.IsSet("template") {
		template := c.String("template")
		patch.Template = &template
	}
	return patch, nil
}

func createAccount(ctx context.Context, o operatorClient, s account.Subject) error {
	patch, err := readAccountPatch(o.command)
	if err != nil {
		return err
	}
	return o.change(ctx, http.MethodPut, s, "", 0, patch, nil)
}

func setAccount(ctx context.Context, o operatorClient, s account.Subject) error {
	patch, err := readAccountPatch(o.command)
	if err != nil {
		return err
	}
	if err := patch.Overrides.resetToTemplate(o.command.StringSlice("follow")); err != nil {
		return err
	}
	if patch.Template == nil && len(patch.Overrides) == 0 {
		return &UsageError{Reason: "account set changes nothing: give a parameter, --template or --follow"}
	}
	return o.changeExisting(ctx, http.MethodPatch, s, "", patch, nil)
}

// newTokenCommand returns the commands that manage the tokens of an account.
func newTokenCommand() *cli.Command {
	kind := account.KindAccount
	return &cli.Command{
		Name:  "token",
		Usage: "add, rotate and remove tokens of an account",
		Commands: []*cli.Command{
			subjectCommand(kind, "add", "add a token and print it, once", changeFlags(),
				func(ctx context.Context, o operatorClient, s account.Subject) error {
					return o.changeExisting(ctx, http.MethodPost, s, "/tokens", nil, nil)
				}),
			subjectCommand(kind, "rotate", "replace all tokens by a new one and print it, once", changeFlags(),
				func(ctx context.Context, o operatorClient, s account.Subject) error {
					return o.changeExisting(ctx, http.MethodPost, s, "/tokens", nil, url.Values{"rotate": {"true"}})
				}),
			{
				Name:      "remove",
				Usage:     "remove a token",
				ArgsUsage: "NAME TOKEN-ID",
				Flags:     changeFlags(),
				Action: operatorAction("NAME TOKEN-ID", 2, func(ctx context.Context, o operatorClient, arguments []string) error {
					s := account.Subject{Kind: kind, Name: arguments[0]}
					return o.changeExisting(ctx, http.MethodDelete, s, "/tokens/"+url.PathEscape(arguments[1]), nil, nil)
				}),
			},
		},
	}
}
