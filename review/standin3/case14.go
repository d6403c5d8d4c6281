package main

import (
	"fmt"
	"strings"
	"time"
)

// Case 14: three jobs of 20,000 small work items come at once. An agent tells its runner to start
// thousands of them at the same time, and the leader packs ordinary work onto the same runners.
func init() {
	cases["14"] = func(f *fleet, rec *recorder, trouble bool) (int, string) {
		stop := f.watchMemory()
		defer stop()
		rec.quiet = true
		count := 20_000
		if !trouble {
			count = 20
		}
		for i := range 3 {
			bulk := map[string]any{"spec": "ms=20000", "steps": []any{
				map[string]any{"count": count, "cpu": 1, "mem_mb": 1, "est_duration_ms": 20_000},
			}}
			if !f.submit(fmt.Sprintf("/batch/%016x", 0xb000+i), "key-b", bulk) {
				return failed, "a large job was not accepted"
			}
		}
		ids := make([]string, 6)
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x", 0xa000+i)
			if !f.submit("/urgent/"+ids[i], "key-a", smallJob(2, 1000)) {
				return failed, "an ordinary job was not accepted"
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(finish)
		worst := f.longestIdle(ids, 2, 70*time.Second)
		var states, kills []string
		for _, id := range ids {
			states = append(states, f.state("/urgent/"+id, "key-a"))
		}
		thrice := 0
		for _, p := range f.processes() {
			n, peak := p.memoryKills()
			if n > 0 {
				kills = append(kills, fmt.Sprintf("%s %d times (peak %d MB of %d)", p.name, n, peak, p.memoryMB))
			}
			if n >= 3 {
				thrice++
			}
		}
		text := fmt.Sprintf("ordinary jobs: nothing running for %v, states %s; over the memory limit: %s",
			worst.Round(100*time.Millisecond), strings.Join(states, " "), strings.Join(kills, ", "))
		if worst >= idle || thrice >= 2 {
			return broken, text
		}
		return held, text
	}
}
