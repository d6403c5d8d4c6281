// Package command implements the command line of lovageroad: the commands that run
// the roles, submit jobs as a caller, and manage settings as an operator.
package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/lovageroad/lovageroad"
	"github.com/lovageroad/lovageroad/internal/settings"
)

const (
	// ExitFailure is the exit code of a command that failed in a way that has no
	// exit code of its own.
	ExitFailure = 1

	// ExitUsage is the exit code of a command whose arguments or settings are
	// wrong, or whose change the gate refused as invalid.
	ExitUsage = 2

	// ExitNotRun is the exit code if the job certainly did not run.
	ExitNotRun = 3

	// ExitMayHaveRun is the exit code if the job may have run but there is no
	// answer, or if it is uncertain whether a change was accepted.
	ExitMayHaveRun = 4
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "lovageroad",
		Usage: "schedule multi-accelerator jobs under client account guarantees",
		Description: "Exit codes: 0 done; 1 failed; 2 the arguments, the settings or the request are wrong; 3 the job did not run; " +
			"4 the job may have run, or the change may have been made; 5 another change came first.",
		Commands: []*cli.Command{
			newGateCommand(),
			newAgentCommand(),
			newPlatformCommand(),
			newRunnerCommand(),
			newServeCommand(),
			newDevCommand(),
			newJobCommand(),
			newAccountCommand(),
			newTemplateCommand(),
			newFloorCommand(),
			newStatusCommand(),
			newCheckCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// Main runs the command line and returns the exit code. SIGINT and SIGTERM cancel
// the command's context.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, New(), arguments)
}

func newGateCommand() *cli.Command {
	return roleCommand("gate", "serve callers and operators on an entry VM, and lead the region when elected", lovageroad.NewGate)
}

func newAgentCommand() *cli.Command {
	return roleCommand("agent", "serve beside an upstream and run tasks on its worker", lovageroad.NewAgent)
}

func newPlatformCommand() *cli.Command {
	return roleCommand("platform", "serve a fake of the platform's table service and object store; for tests and dev, keeps its data in memory only", lovageroad.NewPlatform)
}

func newRunnerCommand() *cli.Command {
	return roleCommand("runner", "serve a fake runner of an upstream; for tests and dev, its tasks only sleep", lovageroad.NewRunner)
}

// roleCommand returns the command that runs a role with the settings from the
// section of a file that has the role's name.
func roleCommand[T any](name, usage string, role func(T, ...lovageroad.Option) lovageroad.Role) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "FILE",
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.Args().First()
			if path == "" || c.Args().Len() > 1 {
				return &UsageError{Reason: name + " takes one settings file"}
			}
			values, err := settings.Load[T](path, name)
			if err != nil {
				return trace.Wrap(err)
			}
			return role(values).Run(ctx)
		},
	}
}
