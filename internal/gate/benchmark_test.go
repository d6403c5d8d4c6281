package gate_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	gateNode       machine.Node   = "10.0.0.1:7000"
	gateRegion     floor.RegionID = "queensland"
	secretToken                   = "token"
	workersPerRack                = 3
	slotsPerWorker                = 32
)

// simulation drives one leading gate in virtual time. Its agents and its store
// answer every message at once. workers maps the address of each agent to its
// worker, epochs to the epoch that the agent was fenced with. runsOrdered
// counts the orders to run a task.
type simulation struct {
	gate         *gate.Gate
	store        *platform.Memory
	now          time.Time
	messagesSent int
	runsOrdered  int
	replies      []gate.Reply
	workers      map[machine.Node]floor.Worker
	epochs       map[machine.Node]lease.Epoch
}

// newSimulation returns a simulation whose gate leads and has fenced all
// agents.
func newSimulation(tb testing.TB, workerCount int) *simulation {
	tb.Helper()
	s := &simulation{
		gate:    gate.New(gateNode, gateRegion, gate.WithRate(1e9, 1e9)),
		store:   platform.NewMemory(),
		now:     time.Unix(1_000_000, 0),
		workers: make(map[machine.Node]floor.Worker),
		epochs:  make(map[machine.Node]lease.Epoch),
	}
	s.addAccount(tb)
	s.step(gate.Start{})
	for i := range workerCount {
		s.workers[machine.Node(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250))] = floor.Worker{
			ID:           floor.WorkerID(fmt.Sprintf("w%d", i)),
			Rack:         floor.RackID(fmt.Sprintf("r%d", i/workersPerRack)),
			DataCentre:   "d1",
			Region:       gateRegion,
			Accelerators: 1, Cores: 64, Memory: 512 << 10, Slots: slotsPerWorker,
		}
	}
	for range 12 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.step(machine.Tick{})
		s.sendHeartbeats()
	}
	return s
}

// addAccount writes the row of the account team.
func (s *simulation) addAccount(tb testing.TB) {
	tb.Helper()
	parameters := account.DefaultParameters()
	parameters.QueueLimit = 1 << 20
	value, err := json.Marshal(account.Account{
		Name: "team", Region: gateRegion, Parameters: parameters,
		Tokens: []account.TokenHash{account.HashToken(secretToken)},
	})
	if err != nil {
		tb.Fatal(err)
	}
	commitRow(tb, s.store, table.Write{Key: gate.AccountKey(gateRegion, "team"), Value: value})
}

// sendHeartbeats has every agent announce itself.
func (s *simulation) sendHeartbeats() {
	for node, worker := range s.workers {
		s.step(machine.Message{From: node, Body: wire.Announce{Worker: worker, Incarnation: 1, Epoch: s.epochs[node]}})
	}
}

// step passes the gate an event, and then the events that result from its
// effects until there are no more.
func (s *simulation) step(event machine.Event) {
	pending := []machine.Event{event}
	for len(pending) > 0 {
		for _, effect := range s.gate.Step(s.now, pending[0]) {
			pending = append(pending, s.carryOut(effect)...)
		}
		pending = pending[1:]
	}
}

// carryOut carries out an effect and returns the events that result from it.
func (s *simulation) carryOut(effect machine.Effect) []machine.Event {
	switch e := effect.(type) {
	case machine.Commit, machine.Read, machine.Scan:
		return []machine.Event{loop.Execute(context.Background(), s.store, s.store, effect)}
	case gate.Reply:
		s.replies = append(s.replies, e)
		return nil
	case machine.Send:
		if e.To == gateNode {
			return []machine.Event{machine.Message{From: e.To, Body: e.Body}}
		}
		s.messagesSent++
		return s.answerAsAgent(e)
	default:
		return nil
	}
}

// answerAsAgent returns the answer of an agent that carries out the order at
// once.
func (s *simulation) answerAsAgent(e machine.Send) []machine.Event {
	reply := func(body any) []machine.Event { return []machine.Event{machine.Message{From: e.To, Body: body}} }
	switch m := e.Body.(type) {
	case wire.Fence:
		s.epochs[e.To] = m.Epoch
		return reply(wire.HeldTasks{Worker: s.workers[e.To], Incarnation: 1, Epoch: m.Epoch})
	case wire.Reserve:
		return reply(wire.Reserved{Epoch: m.Order.Epoch, Task: m.Task})
	case wire.Run:
		s.runsOrdered++
		return reply(wire.Running{Epoch: m.Order.Epoch, Task: m.Task})
	default:
		return nil
	}
}

// submitJobs submits a number of jobs, jobsPerTick in each tick of the gate.
func (s *simulation) submitJobs(jobs int) {
	const jobsPerTick = 20
	for i := range jobs {
		s.submitJob(i)
		if i%jobsPerTick == jobsPerTick-1 {
			s.now = s.now.Add(gate.DefaultTickInterval)
			s.step(machine.Tick{})
			s.sendHeartbeats()
		}
	}
}

func (s *simulation) submitJob(number int) {
	s.step(gate.Submit{
		Request: gate.RequestID(number),
		ID:      job.NewID("team", fmt.Sprint(number)),
		Token:   accountTokenHash(),
		Spec: job.Spec{
			Account: "team", Class: "batch", Idempotent: true, Expected: time.Hour,
			Shape: floor.Shape{Workers: 1, Cores: 1}.WithDefaults(), Input: []byte("input"),
		},
	})
}

func accountTokenHash() account.TokenHash {
	return account.HashToken(secretToken)
}

// waitForRuns lets up to 40 ticks pass until the tasks of the given number of
// jobs have been ordered to run, and fails if they have not.
func (s *simulation) waitForRuns(tb testing.TB, jobs int) {
	tb.Helper()
	for range 40 {
		if s.runsOrdered >= jobs {
			return
		}
		s.now = s.now.Add(gate.DefaultTickInterval)
		s.step(machine.Tick{})
		s.sendHeartbeats()
	}
	tb.Fatalf("%d of %d jobs were ordered to run", s.runsOrdered, jobs)
}

// heapInUse returns the bytes of live objects on the heap.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTick measures one tick, the periodic work that a leader does four
// times a second, by the number of running jobs.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{0, 1000, 4000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := newSimulation(b, 230)
			s.submitJobs(jobs)
			s.waitForRuns(b, jobs)
			b.ReportAllocs()
			for b.Loop() {
				s.step(machine.Tick{})
			}
		})
	}
}

// BenchmarkHeartbeat measures how the leader handles one announcement of an
// agent, without the network.
func BenchmarkHeartbeat(b *testing.B) {
	for _, workers := range []int{11, 230} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newSimulation(b, workers)
			var node machine.Node
			for node = range s.workers {
				break
			}
			b.ReportAllocs()
			for b.Loop() {
				s.step(machine.Message{From: node, Body: wire.Announce{Worker: s.workers[node], Incarnation: 1, Epoch: s.epochs[node]}})
			}
		})
	}
}

// BenchmarkStart measures the computing time per job while jobs are submitted
// and started, with the heartbeats and ticks in between, and the memory per
// running job in the leader and in the in-memory table.
func BenchmarkStart(b *testing.B) {
	const jobs = 4000
	var timePerJob time.Duration
	var bytesPerJob uint64
	for b.Loop() {
		s := newSimulation(b, 230)
		heapBefore, start := heapInUse(), time.Now()
		s.submitJobs(jobs)
		timePerJob = time.Since(start) / jobs
		s.waitForRuns(b, jobs)
		bytesPerJob = (heapInUse() - heapBefore) / jobs
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(timePerJob.Nanoseconds()), "ns/job")
	b.ReportMetric(float64(bytesPerJob), "B/job")
}
