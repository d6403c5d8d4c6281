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

// UsageError says that a command's arguments are wrong.
type UsageError struct {
	Reason string
}

// RefusedError is a problem that a gate answered with.
type RefusedError struct {
	Problem caller.Problem
}

func (e *UsageError) Error() string {
	return e.Reason
}

func (e *RefusedError) Error() string {
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

// run runs a command and returns its exit code.
func run(ctx context.Context, c *cli.Command, arguments []string) int {
	err := c.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	fmt.Fprintln(c.Root().ErrWriter, "lovageroad:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		usage   *UsageError
		key     *settings.KeyError
		refused *RefusedError
		problem *OperatorError
	)
	switch {
	case errors.As(err, &problem):
		return problem.exitCode()
	case errors.As(err, &usage), errors.As(err, &key):
		return ExitUsage
	case errors.As(err, &refused) && refused.Problem.Ran == job.NotRun:
		return ExitNotRun
	case errors.As(err, &refused) && refused.Problem.Ran == job.MayHaveRun:
		return ExitMayHaveRun
	default:
		return ExitFailure
	}
}
