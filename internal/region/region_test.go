package region_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	queueID work.QueueID = "maps"
	pool    work.PoolID  = "planner"
	guard   table.Key    = "lease/epoch"
)

// bed drives the core of a leader by hand.
type bed struct {
	t      *testing.T
	now    time.Time
	core   *region.Core
	day    time.Duration
	table  *platform.Memory
	serial map[control.AgentID]control.Serial
	seq    uint64
	run    map[work.TaskID]work.Run
}

func settings() *configuration.Configuration {
	queues := []configuration.Queue{
		{ID: queueID, Pool: pool, Priority: 1, Attempts: 2, Stretch: 3},
		{ID: "checks", Pool: pool, Priority: 0, Attempts: 2, Stretch: 1.5},
	}
	return configuration.New(1, queues, []configuration.Account{{ID: "depot", Guaranteed: 8}}, configuration.Limits{})
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{
		t: t, now: time.Unix(1000, 0), table: platform.NewMemory(),
		serial: make(map[control.AgentID]control.Serial), run: make(map[work.TaskID]work.Run),
	}
	b.lead(1)
	return b
}

// lead begins an epoch with what the table has.
func (b *bed) lead(epoch lease.Epoch) {
	b.t.Helper()
	ctx := context.Background()
	version, err := b.table.Commit(ctx, table.Txn{Writes: []table.Write{{Key: guard, Value: []byte(fmt.Sprint(epoch))}}})
	if err != nil {
		b.t.Fatal(err)
	}
	b.core = region.New(b.now, epoch, table.Check{Key: guard, Version: version}, version, settings())
	b.core.SetDay(b.day)
	var sets [5][]table.Row
	for i, prefix := range []table.Key{region.JobPrefix, region.CancelPrefix, region.RecordPrefix, region.AgentPrefix, region.PaceKey} {
		if sets[i], err = b.table.Scan(ctx, prefix, "", 1000); err != nil {
			b.t.Fatal(err)
		}
	}
	b.core.Begin(b.now, sets[0], sets[1], sets[2], sets[3], sets[4])
	clear(b.serial)
}

// submit stores a job and tells the leader.
func (b *bed) submit(j work.Job) {
	b.t.Helper()
	value, err := cbor.Marshal(region.Submission{Job: j, Pool: pool, Attempts: 2, Stretch: 3})
	if err != nil {
		b.t.Fatal(err)
	}
	key := region.JobPrefix + table.Key(j.ID)
	version, err := b.table.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: key, Value: value}}})
	if err != nil {
		b.t.Fatal(err)
	}
	b.core.Row(b.now, table.Row{Key: key, Version: version, Value: value})
}

// report has an agent with eight accelerators say what it has, and returns its
// orders.
func (b *bed) report(agent control.AgentID, change func(*control.Report)) control.Word {
	b.t.Helper()
	r := b.compose(agent)
	if change != nil {
		change(&r)
	}
	b.core.Report(b.now, r)
	b.core.Tick(b.now)
	word := b.core.Word(b.now, agent)
	b.serial[agent] = word.Serial
	for _, start := range word.Starts {
		b.run[start.Task] = start.Run
	}
	return word
}

// compose returns the report of an agent whose runner runs nothing.
func (b *bed) compose(agent control.AgentID) control.Report {
	b.seq++
	return control.Report{
		Agent: agent, Life: 1, Seq: b.seq, Epoch: 1, Heard: b.serial[agent], Listed: true,
		Runner: &control.Runner{
			ID: control.RunnerID{Name: "runner-" + string(agent), Born: 1}, Pool: pool, Rack: "r1",
			Capacity: work.Resources{Processor: 32000, Memory: 65536, Accelerators: 8},
		},
	}
}

// save writes what there is to write.
func (b *bed) save() {
	b.t.Helper()
	for batch := b.core.Batch(); batch != nil; batch = b.core.Batch() {
		version, err := b.table.Commit(context.Background(), batch.Txn)
		if !b.core.Saved(batch, version, err) {
			b.t.Fatal("deposed")
		}
	}
}

// join has an agent report until it may get work.
func (b *bed) join(agent control.AgentID) {
	b.t.Helper()
	b.report(agent, nil)
	b.save()
	b.report(agent, nil)
}

// ending has a report list that the first task of a job is done.
func (b *bed) ending(n control.EndID, id work.JobID) func(*control.Report) {
	return func(r *control.Report) {
		r.Ends = []control.End{{N: n, Task: taskOf(id, 0), Run: b.run[taskOf(id, 0)], Outcome: control.Done}}
	}
}

func gpuJob(id work.JobID, count int, accelerators int64) work.Job {
	return work.Job{ID: id, Queue: queueID, Account: "depot", Steps: []work.Step{{
		Count: count, Need: work.Resources{Processor: 1000, Memory: 1024, Accelerators: accelerators},
		Estimate: 5 * time.Second,
	}}}
}

func taskOf(id work.JobID, index int) work.TaskID {
	return work.TaskID{StepID: work.StepID{Job: id}, Index: index}
}

func (b *bed) stored(id work.JobID) region.Record {
	b.t.Helper()
	rows, err := b.table.Read(context.Background(), []table.Key{region.RecordPrefix + table.Key(id)})
	if err != nil || len(rows) != 1 {
		b.t.Fatalf("record of %s: %d rows, %v", id, len(rows), err)
	}
	var r region.Record
	if err := cbor.Unmarshal(rows[0].Value, &r); err != nil {
		b.t.Fatal(err)
	}
	return r
}

// TestLateRecord has a write of records without an answer land after a later
// one. The later record must stand, or the next leader starts done tasks again.
func TestLateRecord(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 2, 4))
	b.report("a", nil)
	end := func(n control.EndID, index int) control.End {
		return control.End{N: n, Task: taskOf("j1", index), Run: b.run[taskOf("j1", index)], Outcome: control.Done}
	}
	b.report("a", func(r *control.Report) { r.Ends = []control.End{end(1, 0)} })
	late := b.core.Batch()
	b.core.Saved(late, 0, &table.UncertainError{Reason: "no answer"})
	b.report("a", func(r *control.Report) { r.Ends = []control.End{end(1, 0), end(2, 1)} })
	b.save()
	if _, err := b.table.Commit(context.Background(), late.Txn); err == nil {
		t.Error("the late write landed over a later record")
	}
	if got := b.stored("j1").State; got != region.Completed {
		t.Errorf("record says %q, want %q", got, region.Completed)
	}
}

// TestLandedRecord has a write without an answer land before it is repeated.
func TestLandedRecord(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.submit(gpuJob("j1", 1, 4))
	b.report("a", nil)
	word := b.report("a", b.ending(1, "j1"))
	if word.Noted != 0 {
		t.Errorf("end %d noted before it is durable", word.Noted)
	}
	first := b.core.Batch()
	if _, err := b.table.Commit(context.Background(), first.Txn); err != nil {
		t.Fatal(err)
	}
	b.core.Saved(first, 0, &table.UncertainError{Reason: "no answer"})
	again := b.core.Batch()
	version, err := b.table.Commit(context.Background(), again.Txn)
	if !b.core.Saved(again, version, err) {
		t.Fatal("taken for another leader's write")
	}
	keys := b.core.Unsure()
	rows, err := b.table.Read(context.Background(), keys)
	if err != nil || len(rows) != 1 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	b.core.Resync(keys, rows)
	b.save()
	if got := b.stored("j1").State; got != region.Completed {
		t.Errorf("record says %q, want %q", got, region.Completed)
	}
	if word := b.report("a", nil); word.Noted != 1 {
		t.Errorf("noted %d, want 1", word.Noted)
	}
}

// TestCancelFirst has the cancellation of a job arrive before the job.
func TestCancelFirst(t *testing.T) {
	b := newBed(t)
	b.join("a")
	b.core.Row(b.now, table.Row{Key: region.CancelPrefix + "j1", Version: 9, Value: []byte{}})
	b.submit(gpuJob("j1", 1, 4))
	if word := b.report("a", nil); len(word.Starts) != 0 {
		t.Errorf("cancelled job started: %v", word.Starts)
	}
	b.save()
	if state, _ := b.core.State("j1"); state != region.Cancelled {
		t.Errorf("state %q", state)
	}
}

// TestPoll has the time between reports without news grow with the number of
// agents, so that the leader's work for them does not.
func TestPoll(t *testing.T) {
	for agents, want := range map[int]time.Duration{11: 600 * time.Millisecond, 120: time.Second, 680: 2 * time.Second} {
		b := newBed(t)
		for i := range agents {
			b.report(control.AgentID(fmt.Sprint(i)), nil)
		}
		if got := b.report("0", nil).Poll; got != want {
			t.Errorf("%d agents: reports wait %v, want %v", agents, got, want)
		}
	}
}
