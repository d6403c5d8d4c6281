package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/operator"
)

const (
	// ExitRaced is the exit code of a change that another change came before.
	ExitRaced = 5

	outputText = "text"
	outputJSON = "json"
)

type (
	// OperatorError is a problem that a gate answered an operator with.
	OperatorError struct {
		Problem operator.Problem
	}

	// operatorClient makes an operator's requests to a gate.
	operatorClient struct {
		gate    string
		token   string
		command *cli.Command
	}

	// operatorCall is what a request says besides its method and path. Match is the
	// revision that a change starts from, if it is not zero.
	operatorCall struct {
		id    account.ChangeID
		match uint64
		body  any
	}
)

func (e *OperatorError) Error() string {
	text := fmt.Sprintf("%d %s", e.Problem.Status, e.Problem.Title)
	if e.Problem.Field != "" {
		text += ": " + e.Problem.Field
	}
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	return text
}

// exitCode returns the exit code of a refusal.
func (e *OperatorError) exitCode() int {
	switch e.Problem.Status {
	case http.StatusPreconditionFailed, http.StatusPreconditionRequired:
		return ExitRaced
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return ExitUsage
	case http.StatusGatewayTimeout:
		return ExitMayHaveRun
	default:
		return ExitFailure
	}
}

// operatorFlags returns the flags of all commands for operators, and those given.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "gate", Value: "http://127.0.0.1:7100", Usage: "base `URL` of a gate", Sources: cli.EnvVars("LOVAGEROAD_GATE")},
		&cli.StringFlag{Name: "token", Usage: "`token` of the operator", Sources: cli.EnvVars("LOVAGEROAD_OPERATOR")},
		&cli.StringFlag{Name: "output", Value: outputText, Usage: "`form` of the output: text or json"},
	}, more...)
}

// changeFlags returns the flags of commands that change settings.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "text", Usage: "short `text` for the history"},
		&cli.BoolFlag{Name: "dry-run", Usage: "say what would be refused and reclaimed, and change nothing"},
		&cli.Uint64Flag{Name: "if-match", Usage: "change only if the subject is still at this `revision`; the newest if absent"},
	}, more...)...)
}

// operatorAction returns an action that takes a number of arguments.
func operatorAction(arguments string, count int, run func(ctx context.Context, o operatorClient, arguments []string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		given := c.Args().Slice()
		if len(given) != count {
			if arguments == "" {
				arguments = "no arguments"
			}
			return &UsageError{Reason: fmt.Sprintf("%s takes %s", c.FullName(), arguments)}
		}
		if form := c.String("output"); form != outputText && form != outputJSON {
			return &UsageError{Reason: fmt.Sprintf("output %q is not text or json", form)}
		}
		return run(ctx, operatorClient{gate: c.String("gate"), token: c.String("token"), command: c}, given)
	}
}

// path returns the path of a subject.
func subjectPath(s account.Subject) string {
	if s.Name == "" {
		return "/v1/" + string(s.Kind)
	}
	return "/v1/" + string(s.Kind) + "s/" + url.PathEscape(s.Name)
}

// call makes a request and reads what is answered into the result. It returns an
// OperatorError if the gate answers with a problem.
func (o operatorClient) call(ctx context.Context, method, path string, c operatorCall, result any) error {
	var data []byte
	if c.body != nil {
		encoded, err := json.Marshal(c.body)
		if err != nil {
			return err
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, o.gate+path, bytes.NewReader(data))
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+o.token)
	if c.match != 0 {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(c.match, 10)))
	}
	if c.id != "" {
		request.Header.Set(operator.ChangeHeader, string(c.id))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		var problem operator.Problem
		if err := json.Unmarshal(answer, &problem); err != nil {
			return fmt.Errorf("the gate answered with status %d", response.StatusCode)
		}
		return &OperatorError{Problem: problem}
	}
	return json.Unmarshal(answer, result)
}

// match returns the revision that a change starts from: the one given, or the
// newest.
func (o operatorClient) match(ctx context.Context, s account.Subject) (uint64, error) {
	if given := o.command.Uint64("if-match"); given != 0 {
		return given, nil
	}
	var current operator.Body
	err := o.call(ctx, http.MethodGet, subjectPath(s), operatorCall{}, &current)
	return uint64(current.Revision), err
}

// change makes a change of a subject and prints the subject.
func (o operatorClient) change(ctx context.Context, method string, s account.Subject, suffix string, match uint64, body any, query url.Values) error {
	if query == nil {
		query = url.Values{}
	}
	if text := o.command.String("text"); text != "" {
		query.Set("text", text)
	}
	if o.command.Bool("dry-run") {
		query.Set("dry-run", "true")
	}
	var changed operator.Body
	c := operatorCall{id: account.ChangeID(rand.Text()), match: match, body: body}
	if err := o.call(ctx, method, subjectPath(s)+suffix+"?"+query.Encode(), c, &changed); err != nil {
		return err
	}
	return o.print(changed, func(w io.Writer) { printBody(w, changed) })
}

// changeExisting makes a change of a subject that exists.
func (o operatorClient) changeExisting(ctx context.Context, method string, s account.Subject, suffix string, body any, query url.Values) error {
	match, err := o.match(ctx, s)
	if err != nil {
		return err
	}
	return o.change(ctx, method, s, suffix, match, body, query)
}

// print writes a value in the form that the command asks for.
func (o operatorClient) print(value any, text func(io.Writer)) error {
	w := o.command.Root().Writer
	if o.command.String("output") == outputText {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
