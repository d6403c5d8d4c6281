package region_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
)

// rusageThread makes getrusage count the calling thread alone.
const rusageThread = 1

// processorTime returns the processor time that a function takes.
func processorTime(t *testing.T, run func()) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var usage [2]syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage[0]); err != nil {
		t.Fatal(err)
	}
	run()
	if err := syscall.Getrusage(rusageThread, &usage[1]); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage[1].Utime.Nano() + usage[1].Stime.Nano() - usage[0].Utime.Nano() - usage[0].Stime.Nano())
}

// submitOverload submits jobs for far more than the workers can run: gangs within a
// rack of both queues, and single tasks.
func submitOverload(h *harness, jobs int) {
	for i := range jobs {
		j := gpuJob(work.JobID(fmt.Sprintf("%016x", 1<<20+i)), 5, 1<<(i%4))
		s := &j.Steps[0]
		s.Gang, s.SameRack = i%3 < 2, i%3 < 2
		switch i % 3 {
		case 0:
			j.Queue = "checks"
		case 1:
			s.Count, s.Need.Processor = 13, 13000
		default:
			s.Count, s.Need = 38, work.Resources{Processor: 4000, Memory: 4096, Accelerators: 1}
		}
		h.submit(j)
	}
}

// TestManyWorkersLost has 25 of 186 workers vanish at once while 1,488 tasks run and 90
// jobs wait. All their tasks wait again together, and the leader must go on answering
// reports: on the smallest gate, none of its steps may take longer than 100 ms.
func TestManyWorkersLost(t *testing.T) {
	const (
		agents, lost = 186, 25
		smallestGate = 0.192 // cores
		longest      = time.Duration(smallestGate * float64(100*time.Millisecond))
	)
	h := newHarness(t)
	h.rackOf = func(agent control.AgentID) work.RackID {
		var n int
		if _, err := fmt.Sscanf(string(agent), "agent-%d", &n); err != nil {
			t.Fatal(err)
		}
		return work.RackID(fmt.Sprint("r", n/8))
	}
	tasksOf := startTasks(h, agents, 8)
	submitOverload(h, 90)
	lostEvents := 0
	h.core.SetLog(func(e region.LogEntry) {
		if e.Event == "worker lost" {
			lostEvents++
		}
	})
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		if took := processorTime(t, func() { h.core.Tick(h.now) }); took > longest {
			t.Fatalf("%v after the start a step of the leader took %v", h.now.Sub(time.Unix(1000, 0)), took)
		}
		for i := lost; i < agents; i++ {
			id := control.AgentID(fmt.Sprintf("agent-%03d", i))
			r := h.newReport(id)
			r.Tasks = tasksOf[id]
			h.core.Report(h.now, r)
			h.core.Orders(h.now, id, r.Incarnation)
		}
	}
	if lostEvents != lost {
		t.Errorf("%d workers lost, want %d", lostEvents, lost)
	}
}
