package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
)

// TestFiguresJob counts the store operations and messages of one job that runs
// without faults, beyond those of the idle region. A job has three records: it is
// accepted, started and ended. Each member is reserved, run, ended and settled
// with an answer to the first two, so six messages, and tells its neighbours in
// the gang that it starts, so two more. A caller at another gate than the leader
// costs a few.
func TestFiguresJob(t *testing.T) {
	const (
		commitsToJob     = 3
		rowsToJob        = 4
		messagesToMember = 8
		messagesToJob    = 8
		window           = 20 * time.Second
	)
	for _, members := range []int{1, 2, 64} {
		r, _ := ready(t, 1, 2, 66)
		run(t, r, time.Minute)
		idleMessages, idleStore := r.Messages(), r.Store.Memory.Counts()
		run(t, r, window)
		idleMessages = r.Messages() - idleMessages
		idle := r.Store.Memory.Counts()
		idle.Commits -= idleStore.Commits
		idle.Writes -= idleStore.Writes
		before, counts := r.Messages(), r.Store.Memory.Counts()
		call := r.Callers.Submit(r.Gates[0], "job", lab.SpecOf(members, true, time.Millisecond), window)
		run(t, r, window)
		if call.Reply == nil || call.Reply.Record.State != job.StateDone {
			t.Fatalf("%d members: got %+v", members, call.Reply)
		}
		messages := r.Messages() - before - idleMessages
		after := r.Store.Memory.Counts()
		commits := after.Commits - counts.Commits - idle.Commits
		rows := after.Writes - counts.Writes - idle.Writes
		t.Logf("%d members: %d commits, %d rows written, %d messages", members, commits, rows, messages)
		if commits > commitsToJob || rows > rowsToJob {
			t.Errorf("%d members: %d commits of %d rows", members, commits, rows)
		}
		if limit := messagesToJob + members*messagesToMember; messages > limit {
			t.Errorf("%d members: %d messages, want at most %d", members, messages, limit)
		}
	}
}

// TestFiguresIdle counts what an idle region sends and asks of the store. A
// worker announces itself every two seconds and is answered. The store carries
// two thousand reads a second for three regions of a few gates.
func TestFiguresIdle(t *testing.T) {
	const (
		workers       = 60
		gates         = 3
		readsToGate   = 10
		writesToGates = 2
		window        = time.Minute
	)
	r, _ := ready(t, 1, gates, workers)
	run(t, r, time.Minute)
	messages, counts := r.Messages(), r.Store.Memory.Counts()
	run(t, r, window)
	after := r.Store.Memory.Counts()
	perWorker := float64(r.Messages()-messages) / workers / window.Seconds()
	reads := float64(after.Reads-counts.Reads+after.Scans-counts.Scans) / gates / window.Seconds()
	writes := float64(after.Writes-counts.Writes) / window.Seconds()
	t.Logf("a second: %.2f messages per worker, %.2f rows read per gate, %.2f rows written", perWorker, reads, writes)
	if perWorker > 1.2 {
		t.Errorf("%.2f messages per worker and second", perWorker)
	}
	if reads > readsToGate {
		t.Errorf("%.2f rows read per gate and second", reads)
	}
	if writes > writesToGates {
		t.Errorf("%.2f rows written a second", writes)
	}
}

// TestFiguresRecovery kills the leader and measures the time until urgent work
// starts under the next one: the term and two renewals of the lease, two
// heartbeats of an agent, and the start itself.
func TestFiguresRecovery(t *testing.T) {
	const limit = 12 * time.Second
	worst := time.Duration(0)
	for seed := range uint64(30) {
		r, ledger := ready(t, seed, 3, 11)
		leader := r.Leader()
		asked := r.Gates[0]
		if asked == leader {
			asked = r.Gates[1]
		}
		leader.Crash()
		steps := r.Steps()
		call := r.Callers.Submit(asked, "urgent", lab.SpecOf(1, true, time.Second), time.Minute)
		took := until(t, r, limit, func() bool { return ledger.Starts(call.Job) > 0 })
		if took > worst {
			worst = took
			t.Logf("seed %d: %v, %d steps", seed, took, r.Steps()-steps)
		}
	}
}

// TestFiguresMemory measures the memory of a leader for each job that waits, and
// that it lets ended jobs go. A node has 256 MB for 13,000 jobs and all else.
func TestFiguresMemory(t *testing.T) {
	const (
		jobs  = 2000
		limit = 256 << 20 / 13_000 / 2
	)
	r, _ := ready(t, 1, 1, 1, gate.WithRate(1e9, 1e9), gate.WithRetention(time.Minute, 2*time.Minute))
	run(t, r, 10*time.Second)
	before := heap()
	for i := range jobs {
		r.Callers.Submit(r.Gates[0], fmt.Sprint(i), lab.SpecOf(1, true, 24*time.Hour), 0)
	}
	run(t, r, time.Minute)
	used := (heap() - before) / jobs
	t.Logf("%d bytes per job, with the lab's own", used)
	if used > limit {
		t.Errorf("%d bytes per job", used)
	}
	for i := range jobs {
		r.Callers.Cancel(r.Gates[0], fmt.Sprint(i))
	}
	run(t, r, 10*time.Minute)
	if rows := len(r.Store.Rows("done/")) + len(r.Store.Rows("live/")); rows > 0 {
		t.Errorf("%d rows are kept after their retention", rows)
	}
}
