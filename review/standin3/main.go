// Command standin3 plays the cases of the third review: it runs the system's programs as
// processes, with stand-ins of the platform, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is how long a case may play.
const limit = 115 * time.Second

// The outcomes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(f *fleet, rec *recorder, trouble bool) (int, string){}

func main() {
	if len(os.Args) < 3 {
		fmt.Println("usage: standin3 CASE FOLDER")
		os.Exit(failed)
	}
	play := cases[os.Args[1]]
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if play == nil || err != nil {
		fmt.Println("no such case, or no record:", err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case", os.Args[1], "trouble", trouble)
	f := &fleet{rec: rec}
	// No process may outlive the case.
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(limit):
		}
		f.close()
		os.Exit(failed)
	}()
	if err := f.launch(4, 11); err != nil {
		fmt.Println(err)
		rec.write(err)
		f.close()
		os.Exit(failed)
	}
	outcome, text := play(f, rec, trouble)
	f.close()
	rec.write("outcome", outcome, text)
	fmt.Println(outcome, text)
	os.Exit(outcome)
}
