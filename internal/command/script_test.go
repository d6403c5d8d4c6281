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

// portRanges counts the port ranges that tests of this process have tried.
var portRanges atomic.Int32

// commandEnv is the environment variable with which the test binary runs as the
// command lovageroad.
const commandEnv = "LOVAGEROAD_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandEnv) != "" {
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

// ready is a script command that waits until a job has run on all four workers of
// the region.
func ready(ts *testscript.TestScript, _ bool, _ []string) {
	for range 600 {
		err := ts.Exec("lovageroad", "job", "submit", "--workers", "4", "--accelerators", "0", "--idempotent", "--input", "warm", "--wait", "10")
		if err == nil {
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	ts.Fatalf("no job on all workers succeeded in time")
}

// freePorts returns the first port of a range of 20 ports that nothing listens on.
// The process's identifier and a counter spread the ranges of parallel tests.
func freePorts(t *testing.T) int {
	t.Helper()
	const rangeSize = 20
	for range 200 {
		first := 20000 + (os.Getpid()*7+int(portRanges.Add(1)))%600*rangeSize
		if allFree(first, rangeSize) {
			return first
		}
	}
	t.Fatal("found no range of free ports")
	return 0
}

func allFree(first, rangeSize int) bool {
	for port := first; port < first+rangeSize; port++ {
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
