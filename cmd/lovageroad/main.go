// Command lovageroad runs the processes of the scheduler (gate and agent) and is the
// command-line client for operators and callers.
package main

import (
	"os"

	"github.com/lovageroad/lovageroad/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
