// Command review2 plays the cases of the second review: it starts gates and agents as
// separate processes on loopback addresses, beside stand-ins of the platform's store, of
// runners and of clients, and checks one rule from what these see.
//
// Usage, in the root of the repository: review2 CASE RECORD
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 the case plays without its disruption. LOGS names a folder to which the logs
// of the processes are copied.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

// errBroken is returned by a case that saw its rule broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case in a new world and returns the exit status.
func play(scenario func(w *world, trouble bool) error, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer rec.file.Close()
	w, err := newWorld(rec)
	if err != nil {
		rec.add("not run: %v", err)
		return statusNotRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("disruption: %t", trouble)
	err = scenario(w, trouble)
	if folder := os.Getenv("LOGS"); folder != "" {
		if err := w.logs(folder); err != nil {
			rec.add("%v", err)
		}
	}
	switch {
	case err == nil:
		rec.add("the rule held")
		return statusHeld
	case errors.Is(err, errBroken):
		rec.add("%v", err)
		return statusBroken
	}
	rec.add("not run: %v", err)
	return statusNotRun
}

// prepare starts gates, agents and runners, and waits until a first job is completed.
func (w *world) prepare(gates, agents []int) error {
	if err := w.startGates(gates...); err != nil {
		return err
	}
	if err := w.startAgents(agents...); err != nil {
		return err
	}
	if err := w.startRunners(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return w.checkServing()
}

// checkServing returns an error unless a job is accepted and completed.
func (w *world) checkServing() error {
	job := w.newJob()
	if !w.submit(job, jobBody(100*time.Millisecond, 0, smallStep)) || !w.awaitState(job, "completed", serveTime) {
		return errors.New("the deployment does not complete a first job")
	}
	return nil
}
