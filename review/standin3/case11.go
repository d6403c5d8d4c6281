package main

import (
	"fmt"
	"syscall"
	"time"
)

// Case 11: the leading gate is killed while the store has some hundred large jobs. No gate can read
// all rows in the time that it allows for a part of them, so that none leads again.
func init() {
	cases["11"] = func(f *fleet, rec *recorder, trouble bool) (int, string) {
		const (
			jobs   = 600
			before = "00000000000000aa"
			after  = "00000000000000bb"
		)
		// One way between zones takes 3.5 ms, and a machine's link carries 1,000 Mbit/s.
		f.store.setLink(7*time.Millisecond, 1_000_000_000)
		count := jobs
		if !trouble {
			count = 6
		}
		stop := f.watchMemory()
		defer stop()
		answers := f.sendLarge(count)
		rec.write("large bodies sent, by status of the answer:", answers, "bytes of a row:", f.store.largestRow("job"))
		if !f.submit("/urgent/"+before, "key-a", smallJob(2, 1000)) {
			return failed, "the first ordinary job was not accepted"
		}
		if state := f.awaitState("/urgent/"+before, "key-a", "completed", 10*time.Second); state != "completed" {
			return failed, "the first ordinary job is " + state
		}
		leader := f.leader()
		if leader == nil {
			return failed, "no gate leads"
		}
		if trouble {
			rec.write("kill", leader.name, "which leads")
			leader.signal(syscall.SIGKILL)
			time.Sleep(2 * time.Second)
		}
		if !f.submit("/urgent/"+after, "key-a", smallJob(2, 1000)) {
			return failed, "the second ordinary job was not accepted"
		}
		time.Sleep(finish)
		worst := f.longestIdle([]string{after}, 2, 30*time.Second)
		state := f.state("/urgent/"+after, "key-a")
		kills := 0
		for _, p := range f.gates {
			n, _ := p.memoryKills()
			kills += n
		}
		text := fmt.Sprintf("large bodies %v; the ordinary job after the kill: state %q, nothing running for %v from %v after it was accepted; ends for memory: %d",
			answers, state, worst.Round(100*time.Millisecond), finish, kills)
		if worst >= idle {
			return broken, text
		}
		return held, text
	}
}
