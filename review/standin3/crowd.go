package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// finish is how long after the end of the traffic the rules ask for jobs (finish_s), and idle for
// how long a job may then have nothing running.
const (
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// imageBytes is the length of the name of an image in a large job.
const imageBytes = 540

// sendLarge hands in large jobs from 16 clients at once, each at one gate after the other, and
// returns the number of answers by status.
func (f *fleet) sendLarge(count int) map[int]int {
	const clients = 16
	body := largeJob()
	var (
		mu      sync.Mutex
		group   sync.WaitGroup
		answers = make(map[int]int)
	)
	for c := range clients {
		group.Go(func() {
			for i := c; i < count; i += clients {
				status, _ := f.call(i%len(f.gates), http.MethodPost, fmt.Sprintf("/batch/%016x", 0xb000+i), "key-b", body)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return answers
}

// largeJob is a job of 100 steps, each after all earlier ones: a body of about 80 KB.
func largeJob() map[string]any {
	image := strings.Repeat("i", imageBytes)
	earlier := make([]int, 100)
	steps := make([]any, len(earlier))
	for i := range steps {
		earlier[i] = i
		step := map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "gpu": 1, "est_duration_ms": 1000, "image": image}
		if i > 0 {
			step["after"] = earlier[:i]
		}
		steps[i] = step
	}
	due := time.Now().Add(time.Hour).UnixMilli()
	return map[string]any{"spec": "ms=100", "steps": steps, "repeats": 1, "first_run_ms": due, "interval_ms": 1000}
}

// smallJob is a job of one step whose work items take the given time.
func smallJob(count, ms int) map[string]any {
	return map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "steps": []any{
		map[string]any{"count": count, "cpu": 500, "mem_mb": 256, "gpu": 1, "est_duration_ms": ms},
	}}
}
