package command_test

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/lovageroad/lovageroad/internal/command"
)

// portRun counts the runs of ports that scripts have asked for.
var portRun atomic.Int32

// asCommand is the variable that makes the test binary the command.
const asCommand = "LOVAGEROAD_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		os.Exit(command.Main(os.Args))
	}
	testscript.Main(m, map[string]func(){
		"lovageroad": func() { os.Exit(command.Main(os.Args)) },
	})
}

// TestScripts runs the command lines under testdata/script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			port := freePorts(t)
			e.Setenv("PORT", strconv.Itoa(port))
			e.Setenv("PORT2", strconv.Itoa(port+1))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"ready": ready},
	})
}

// ready waits until a job has run on all four workers of the region.
func ready(ts *testscript.TestScript, _ bool, _ []string) {
	for range 600 {
		err := ts.Exec("lovageroad", "job", "submit", "--workers", "4", "--accelerators", "0", "--idempotent", "--input", "warm", "--wait", "10")
		if err == nil {
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	ts.Fatalf("no job ran in time")
}

// freePorts returns the first of a run of ports that nothing listens on.
func freePorts(t *testing.T) int {
	t.Helper()
	const run = 20
	for range 200 {
		first := 20000 + (os.Getpid()*7+int(portRun.Add(1)))%600*run
		if allFree(first, run) {
			return first
		}
	}
	t.Fatal("no run of free ports")
	return 0
}

func allFree(first, run int) bool {
	for port := first; port < first+run; port++ {
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			return false
		}
		if err := listener.Close(); err != nil {
			return false
		}
	}
	return true
}
