package main

import (
	"fmt"
	"syscall"
	"time"
)

// Case 12: the leading gate freezes for 0.6 s while large jobs come. What the feed then has for it
// is larger than what it reads of an answer, and it asks for the same again and again.
func init() {
	cases["12"] = func(f *fleet, rec *recorder, trouble bool) (int, string) {
		const (
			jobs   = 600
			id     = "00000000000000aa"
			freeze = 600 * time.Millisecond
		)
		// One way between zones takes 3.5 ms, and a machine's link carries 1,000 Mbit/s.
		f.store.setLink(7*time.Millisecond, 1_000_000_000)
		count := jobs
		if !trouble {
			count = 6
		}
		stop := f.watchMemory()
		defer stop()
		leader := f.leader()
		if leader == nil {
			return failed, "no gate leads"
		}
		if trouble {
			time.AfterFunc(800*time.Millisecond, func() {
				rec.write("freeze", leader.name, "which leads")
				leader.signal(syscall.SIGSTOP)
				time.AfterFunc(freeze, func() {
					leader.signal(syscall.SIGCONT)
					rec.write("wake", leader.name)
				})
			})
		}
		answers := f.sendLarge(count)
		rec.write("large bodies sent, by status of the answer:", answers, "bytes of a row:", f.store.largestRow("job"))
		if !f.submit("/urgent/"+id, "key-a", smallJob(2, 1000)) {
			return failed, "the ordinary job was not accepted"
		}
		time.Sleep(finish)
		worst := f.longestIdle([]string{id}, 2, 40*time.Second)
		state := f.state("/urgent/"+id, "key-a")
		kills := 0
		for _, p := range f.gates {
			n, _ := p.memoryKills()
			kills += n
		}
		text := fmt.Sprintf("large bodies %v; the ordinary job: state %q, nothing running for %v from %v after it was accepted; largest answer of the feed %d bytes; ends for memory: %d",
			answers, state, worst.Round(100*time.Millisecond), finish, f.store.feedSize(), kills)
		if worst >= idle {
			return broken, text
		}
		return held, text
	}
}
