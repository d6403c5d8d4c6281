package command_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lovageroad/lovageroad/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lovageroad": func() { os.Exit(command.Main(os.Args)) },
	})
}

// TestScripts runs the command lines under testdata/script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
