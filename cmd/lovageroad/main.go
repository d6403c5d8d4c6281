// Command lovageroad runs the roles of the scheduler and speaks to them.
package main

import (
	"os"

	"github.com/lovageroad/lovageroad/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args))
}
