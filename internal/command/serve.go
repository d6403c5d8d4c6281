package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/logs"
	"github.com/lovageroad/lovageroad/platform"
)

// newServeCommand returns the commands that run a role on the users' platform, the
// system that package platform adapts to. It provides the settings file of a process.
func newServeCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run a role on the users' platform, with the settings file that the platform provides",
		Commands: []*cli.Command{
			serveCommand("gate", "serve callers on an entry VM, and lead the region when elected", platform.RunGate),
			serveCommand("agent", "serve beside an upstream and run tasks on its worker", platform.RunAgent),
		},
	}
}

// serveCommand returns the command that runs a role and writes its log to the
// standard output through the non-blocking writer of package logs.
func serveCommand(name, usage string, run func(context.Context) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Action: func(ctx context.Context, _ *cli.Command) error {
			// Without a handler SIGHUP ends the process. The role handles it only from when
			// it serves until it drains.
			signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
			writer := logs.NewWriter(os.Stdout, time.Now)
			defer writer.Close()
			klog.LogToStderr(false)
			klog.SetOutput(writer)
			return run(ctx)
		},
	}
}
