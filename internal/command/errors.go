package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad/internal/caller"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/settings"
)

// UsageError reports invalid arguments or flags of a command.
type UsageError struct {
	Reason string
}

// CallerError is an error response of a gate to a caller's request.
type CallerError struct {
	Problem caller.Problem
}

func (e *UsageError) Error() string {
	return e.Reason
}

func (e *CallerError) Error() string {
	text := fmt.Sprintf("%d %s", e.Problem.Status, e.Problem.Title)
	if e.Problem.Field != "" {
		text += ": " + e.Problem.Field
	}
	if e.Problem.Detail != "" {
		text += ": " + e.Problem.Detail
	}
	if e.Problem.Ran != "" {
		text += " (" + string(e.Problem.Ran) + ")"
	}
	return text
}

// run runs a command, prints its error if there is one, and returns the exit code.
func run(ctx context.Context, c *cli.Command, arguments []string) int {
	err := c.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	fmt.Fprintln(c.Root().ErrWriter, "lovageroad:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var (
		usageErr    *UsageError
		settingErr  *settings.SettingError
		callerErr   *CallerError
		operatorErr *OperatorError
	)
	switch {
	case errors.As(err, &operatorErr):
		return operatorErr.exitCode()
	case errors.As(err, &usageErr), errors.As(err, &settingErr):
		return ExitUsage
	case errors.As(err, &callerErr) && callerErr.Problem.Ran == job.NotRun:
		return ExitNotRun
	case errors.As(err, &callerErr) && callerErr.Problem.Ran == job.MayHaveRun:
		return ExitMayHaveRun
	default:
		return ExitFailure
	}
}
