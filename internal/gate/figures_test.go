package gate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
)

// TestFiguresJob bounds the store operations and messages of one job without
// faults, beyond those of the idle region. A job is written when it is
// accepted, started and ended. The last write also deletes its live row, which
// makes four rows. Each member costs eight messages: Reserve and Run with their
// answers, Ended and OutcomeDurable, and one to each of two neighbours in the
// gang when it starts. Eight messages per job are allowed for a caller at a gate
// other than the leader.
func TestFiguresJob(t *testing.T) {
	const (
		maxCommits           = 3
		maxRows              = 4
		maxMessagesPerMember = 8
		maxMessagesPerJob    = 8
		window               = 20 * time.Second
	)
	for _, members := range []int{1, 2, 64} {
		r, _ := readyRegion(t, 1, 2, 66)
		run(t, r, time.Minute)
		idleMessages, idleBefore := r.Messages(), r.Store.Memory.Counts()
		run(t, r, window)
		idleMessages = r.Messages() - idleMessages
		idle := r.Store.Memory.Counts()
		idle.Commits -= idleBefore.Commits
		idle.Writes -= idleBefore.Writes
		messagesBefore, countsBefore := r.Messages(), r.Store.Memory.Counts()
		call := r.Callers.Submit(r.Gates[0], "job", lab.SpecOf(members, true, time.Millisecond), window)
		run(t, r, window)
		if call.Reply == nil || call.Reply.Record.State != job.StateDone {
			t.Fatalf("%d members: got %+v, want done", members, call.Reply)
		}
		messages := r.Messages() - messagesBefore - idleMessages
		countsAfter := r.Store.Memory.Counts()
		commits := countsAfter.Commits - countsBefore.Commits - idle.Commits
		rows := countsAfter.Writes - countsBefore.Writes - idle.Writes
		t.Logf("%d members: %d commits, %d rows written, %d messages", members, commits, rows, messages)
		if commits > maxCommits || rows > maxRows {
			t.Errorf("%d members: %d commits, %d rows written", members, commits, rows)
		}
		if limit := maxMessagesPerJob + members*maxMessagesPerMember; messages > limit {
			t.Errorf("%d members: %d messages, want at most %d", members, messages, limit)
		}
	}
}

// TestFiguresIdle bounds the messages and store operations of an idle region. An
// agent announces itself every 2 s and is answered, which is one message per
// second. The store carries 2000 reads per second for three regions of a few
// gates each.
func TestFiguresIdle(t *testing.T) {
	const (
		agents          = 60
		gates           = 3
		maxReadsPerGate = 10
		maxWrites       = 2
		window          = time.Minute
	)
	r, _ := readyRegion(t, 1, gates, agents)
	run(t, r, time.Minute)
	messagesBefore, countsBefore := r.Messages(), r.Store.Memory.Counts()
	run(t, r, window)
	countsAfter := r.Store.Memory.Counts()
	messagesPerAgent := float64(r.Messages()-messagesBefore) / agents / window.Seconds()
	reads := float64(countsAfter.Reads-countsBefore.Reads+countsAfter.Scans-countsBefore.Scans) / gates / window.Seconds()
	writes := float64(countsAfter.Writes-countsBefore.Writes) / window.Seconds()
	t.Logf("per second: %.2f messages per agent, %.2f keys read and scans per gate, %.2f rows written", messagesPerAgent, reads, writes)
	if messagesPerAgent > 1.2 {
		t.Errorf("%.2f messages per agent and second, want at most 1.2", messagesPerAgent)
	}
	if reads > maxReadsPerGate {
		t.Errorf("%.2f keys read and scans per gate and second", reads)
	}
	if writes > maxWrites {
		t.Errorf("%.2f rows written per second", writes)
	}
}

// TestFiguresRecovery crashes the leader and bounds the time until a job that
// finds free workers starts under the next one. The limit covers the term and
// two renewals of the lease, two heartbeats of an agent, and the start itself.
func TestFiguresRecovery(t *testing.T) {
	const limit = 12 * time.Second
	worst := time.Duration(0)
	for seed := range uint64(30) {
		r, checker := readyRegion(t, seed, 3, 11)
		leader := r.Leader()
		follower := r.Gates[0]
		if follower == leader {
			follower = r.Gates[1]
		}
		leader.Crash()
		steps := r.Steps()
		call := r.Callers.Submit(follower, "urgent", lab.SpecOf(1, true, time.Second), time.Minute)
		elapsed := runUntil(t, r, limit, func() bool { return checker.Starts(call.Job) > 0 })
		if elapsed > worst {
			worst = elapsed
			t.Logf("seed %d: %v, %d steps", seed, elapsed, r.Steps()-steps)
		}
	}
}

// TestFiguresMemory bounds a leader's memory per waiting job. A node has 256 MB
// for 13,000 jobs and everything else, so a job may take half of its share. The
// test also checks that the rows of ended jobs are deleted after their
// retention.
func TestFiguresMemory(t *testing.T) {
	const (
		jobs           = 2000
		maxBytesPerJob = 256 << 20 / 13_000 / 2
	)
	r, _ := readyRegion(t, 1, 1, 1, gate.WithRate(1e9, 1e9), gate.WithRetention(time.Minute, 2*time.Minute))
	run(t, r, 10*time.Second)
	heapBefore := heapInUse()
	for i := range jobs {
		r.Callers.Submit(r.Gates[0], fmt.Sprint(i), lab.SpecOf(1, true, 24*time.Hour), 0)
	}
	run(t, r, time.Minute)
	bytesPerJob := (heapInUse() - heapBefore) / jobs
	t.Logf("%d bytes per job, including those of package lab", bytesPerJob)
	if bytesPerJob > maxBytesPerJob {
		t.Errorf("%d bytes per job", bytesPerJob)
	}
	for i := range jobs {
		r.Callers.Cancel(r.Gates[0], fmt.Sprint(i))
	}
	run(t, r, 10*time.Minute)
	if rows := len(r.Store.Rows("done/")) + len(r.Store.Rows("live/")); rows > 0 {
		t.Errorf("%d rows of ended jobs remain after their retention", rows)
	}
}
