package main

import (
	"fmt"
	"strings"
	"time"
)

// Case 13: many large bodies of legal size come at once, each a job that is due in an hour. The
// leader keeps all of them in memory.
func init() {
	cases["13"] = func(f *fleet, rec *recorder, trouble bool) (int, string) {
		const (
			jobs = 3600
			id   = "00000000000000aa"
		)
		count := jobs
		if !trouble {
			count = 36
		}
		stop := f.watchMemory()
		defer stop()
		answers := f.sendLarge(count)
		rec.write("large bodies sent, by status of the answer:", answers)
		if !f.submit("/urgent/"+id, "key-a", smallJob(2, 1000)) {
			return failed, "the ordinary job was not accepted"
		}
		time.Sleep(finish)
		worst := f.longestIdle([]string{id}, 2, 15*time.Second)
		state := f.state("/urgent/"+id, "key-a")
		var kills []string
		for _, p := range f.gates {
			if n, peak := p.memoryKills(); n > 0 {
				kills = append(kills, fmt.Sprintf("%s %d times (peak %d MB of %d)", p.name, n, peak, p.memoryMB))
			}
		}
		text := fmt.Sprintf("large bodies %v; ordinary job: state %q, nothing running for %v; over the memory limit: %s",
			answers, state, worst.Round(100*time.Millisecond), strings.Join(kills, ", "))
		if worst >= idle {
			return broken, text
		}
		return held, text
	}
}
