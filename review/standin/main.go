// Command standin plays the cases of the review that are scripts. It starts the project's
// own programs on loopback addresses, with stand-ins of the platform, the runners and the
// clients as the users' pages describe them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by their names.
var cases = map[string]func(log *record, dir, binary string, trouble bool) int{
	"suspend":  suspendCase,
	"schedule": scheduleCase,
	"backlog":  backlogCase,
	"wide":     wideCase,
	"rack":     rackCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER BINARY")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, folder, binary string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	binary, err = filepath.Abs(binary)
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("REVIEW_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", dir)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- cases[name](log, dir, binary, os.Getenv("TROUBLE") != "0") }()
	select {
	case code := <-result:
		return code
	case <-interrupted:
	case <-time.After(118 * time.Second):
		fmt.Fprintln(os.Stderr, "the case took too long")
	}
	// The processes end with this one.
	return failed
}

// verdict prints and records the outcome of a case.
func verdict(log *record, isBroken bool, format string, values ...any) int {
	text := fmt.Sprintf(format, values...)
	outcome, code := "HELD", held
	if isBroken {
		outcome, code = "BROKEN", broken
	}
	log.add("verdict", "%s: %s", outcome, text)
	fmt.Println(outcome+":", text)
	return code
}

// abandon reports that a case could not run.
func abandon(log *record, err error) int {
	log.add("verdict", "NOT RUN: %v", err)
	fmt.Println("NOT RUN:", err)
	return failed
}
