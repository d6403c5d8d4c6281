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
	// ExitConflict is the exit code of a change that was refused because the subject
	// is not at the revision that the change starts from.
	ExitConflict = 5

	outputText = "text"
	outputJSON = "json"
)

type (
	// OperatorError is an error response of a gate to an operator's request.
	OperatorError struct {
		Problem operator.Problem
	}

	// operatorClient sends an operator's requests to a gate. command provides the
	// flags and the output.
	operatorClient struct {
		gate    string
		token   string
		command *cli.Command
	}

	// requestOptions holds the optional parts of a request. changeID identifies a
	// change, and match is the revision that the change starts from. Zero values
	// are left out.
	requestOptions struct {
		changeID account.ChangeID
		match    uint64
		body     any
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

// exitCode returns the exit code for the status of the response.
func (e *OperatorError) exitCode() int {
	switch e.Problem.Status {
	case http.StatusPreconditionFailed, http.StatusPreconditionRequired:
		return ExitConflict
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return ExitUsage
	case http.StatusGatewayTimeout:
		return ExitMayHaveRun
	default:
		return ExitFailure
	}
}

// operatorFlags returns the flags that all operators' commands have, followed by
// the given ones.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "gate", Value: "http://127.0.0.1:7100", Usage: "base `URL` of a gate", Sources: cli.EnvVars("LOVAGEROAD_GATE")},
		&cli.StringFlag{Name: "token", Usage: "`token` of the operator", Sources: cli.EnvVars("LOVAGEROAD_OPERATOR")},
		&cli.StringFlag{Name: "output", Value: outputText, Usage: "`format` of the output: text or json"},
	}, more...)
}

// changeFlags returns the flags that all commands have that change settings,
// followed by the given ones.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "text", Usage: "short `text` for the history"},
		&cli.BoolFlag{Name: "dry-run", Usage: "print whether the change would be refused and what would be reclaimed, and change nothing"},
		&cli.Uint64Flag{Name: "if-match", Usage: "change only if the subject is still at this `revision`; the newest if absent"},
	}, more...)...)
}

// operatorAction returns an action that checks the number of arguments and the
// flag output before it calls run. argumentNames names the expected arguments in
// the error.
func operatorAction(argumentNames string, count int, run func(ctx context.Context, o operatorClient, arguments []string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		arguments := c.Args().Slice()
		if len(arguments) != count {
			if argumentNames == "" {
				argumentNames = "no arguments"
			}
			return &UsageError{Reason: fmt.Sprintf("%s takes %s", c.FullName(), argumentNames)}
		}
		if format := c.String("output"); format != outputText && format != outputJSON {
			return &UsageError{Reason: fmt.Sprintf("output %q is not text or json", format)}
		}
		return run(ctx, operatorClient{gate: c.String("gate"), token: c.String("token"), command: c}, arguments)
	}
}

// subjectPath returns the URL path of a subject.
func subjectPath(s account.Subject) string {
	if s.Name == "" {
		return "/v1/" + string(s.Kind)
	}
	return "/v1/" + string(s.Kind) + "s/" + url.PathEscape(s.Name)
}

// call makes a request and decodes the response body into result. It returns an
// OperatorError if the gate answers with an error.
func (o operatorClient) call(ctx context.Context, method, path string, options requestOptions, result any) error {
	var data []byte
	if options.body != nil {
		encoded, err := json.Marshal(options.body)
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
	if options.match != 0 {
		request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(options.match, 10)))
	}
	if options.changeID != "" {
		request.Header.Set(operator.ChangeIDHeader, string(options.changeID))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		var problem operator.Problem
		if err := json.Unmarshal(responseBody, &problem); err != nil {
			return fmt.Errorf("the gate answered with status %d", response.StatusCode)
		}
		return &OperatorError{Problem: problem}
	}
	return json.Unmarshal(responseBody, result)
}

// match returns the revision that a change starts from: the one in the flag
// if-match or else the newest.
func (o operatorClient) match(ctx context.Context, s account.Subject) (uint64, error) {
	if ifMatch := o.command.Uint64("if-match"); ifMatch != 0 {
		return ifMatch, nil
	}
	var current operator.SubjectBody
	err := o.call(ctx, http.MethodGet, subjectPath(s), requestOptions{}, &current)
	return uint64(current.Revision), err
}

// change sends a change of a subject and prints the resulting subject.
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
	var changed operator.SubjectBody
	options := requestOptions{changeID: account.ChangeID(rand.Text()), match: match, body: body}
	if err := o.call(ctx, method, subjectPath(s)+suffix+"?"+query.Encode(), options, &changed); err != nil {
		return err
	}
	return o.print(changed, func(w io.Writer) { printBody(w, changed) })
}

// changeExisting sends a change of a subject that must exist, starting from the
// revision that match returns.
func (o operatorClient) changeExisting(ctx context.Context, method string, s account.Subject, suffix string, body any, query url.Values) error {
	match, err := o.match(ctx, s)
	if err != nil {
		return err
	}
	return o.change(ctx, method, s, suffix, match, body, query)
}

// print writes a value in the format that the flag output selects: as text, by
// calling printText, or as JSON.
func (o operatorClient) print(value any, printText func(io.Writer)) error {
	w := o.command.Root().Writer
	if o.command.String("output") == outputText {
		printText(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
