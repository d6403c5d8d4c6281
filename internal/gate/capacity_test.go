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
	capacityNode   machine.Node   = "10.0.0.1:7000"
	capacityRegion floor.RegionID = "queensland"
	capacityToken                 = "token"
	workersToRack                 = 3
	slotsToWorker                 = 32
)

// site is one leading gate before agents that obey at once, in virtual time.
type site struct {
	gate    *gate.Gate
	store   *platform.Memory
	now     time.Time
	sent    int
	runs    int
	replies []gate.Reply
	nodes   map[machine.Node]floor.Worker
	epochs  map[machine.Node]lease.Epoch
}

func newSite(tb testing.TB, workers int) *site {
	tb.Helper()
	s := &site{
		gate:   gate.New(capacityNode, capacityRegion, gate.WithRate(1e9, 1e9)),
		store:  platform.NewMemory(),
		now:    time.Unix(1_000_000, 0),
		nodes:  make(map[machine.Node]floor.Worker),
		epochs: make(map[machine.Node]lease.Epoch),
	}
	s.seed(tb)
	s.step(gate.Start{})
	for i := range workers {
		s.nodes[machine.Node(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250))] = floor.Worker{
			ID:           floor.WorkerID(fmt.Sprintf("w%d", i)),
			Rack:         floor.RackID(fmt.Sprintf("r%d", i/workersToRack)),
			DataCentre:   "d1",
			Region:       capacityRegion,
			Accelerators: 1, Cores: 64, Memory: 512 << 10, Slots: slotsToWorker,
		}
	}
	for range 12 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.step(machine.Tick{})
		s.heartbeats()
	}
	return s
}

func (s *site) seed(tb testing.TB) {
	tb.Helper()
	parameters := account.DefaultParameters()
	parameters.QueueLimit = 1 << 20
	value, err := json.Marshal(account.Account{
		Name: "team", Region: capacityRegion, Parameters: parameters,
		Tokens: []account.TokenHash{account.HashToken(capacityToken)},
	})
	if err != nil {
		tb.Fatal(err)
	}
	seedAccount(tb, s.store, table.Write{Key: gate.AccountKey(capacityRegion, "team"), Value: value})
}

func (s *site) heartbeats() {
	for node, worker := range s.nodes {
		s.step(machine.Message{From: node, Body: wire.Announce{Worker: worker, Incarnation: 1, Epoch: s.epochs[node]}})
	}
}

// step feeds the gate an event and answers all that follows from it at once.
func (s *site) step(event machine.Event) {
	pending := []machine.Event{event}
	for len(pending) > 0 {
		for _, effect := range s.gate.Step(s.now, pending[0]) {
			pending = append(pending, s.answer(effect)...)
		}
		pending = pending[1:]
	}
}

func (s *site) answer(effect machine.Effect) []machine.Event {
	switch e := effect.(type) {
	case machine.Commit, machine.Read, machine.Scan:
		return []machine.Event{loop.Carry(context.Background(), s.store, s.store, effect)}
	case gate.Reply:
		s.replies = append(s.replies, e)
		return nil
	case machine.Send:
		if e.To == capacityNode {
			return []machine.Event{machine.Message{From: e.To, Body: e.Body}}
		}
		s.sent++
		return s.obey(e)
	default:
		return nil
	}
}

// obey answers an order as an agent does.
func (s *site) obey(e machine.Send) []machine.Event {
	reply := func(body any) []machine.Event { return []machine.Event{machine.Message{From: e.To, Body: body}} }
	switch m := e.Body.(type) {
	case wire.Fence:
		s.epochs[e.To] = m.Epoch
		return reply(wire.Holding{Worker: s.nodes[e.To], Incarnation: 1, Epoch: m.Epoch})
	case wire.Reserve:
		return reply(wire.Reserved{Epoch: m.Order.Epoch, Task: m.Task})
	case wire.Run:
		s.runs++
		return reply(wire.Running{Epoch: m.Order.Epoch, Task: m.Task})
	default:
		return nil
	}
}

// submitAll submits jobs, a few in each tick of the gate.
func (s *site) submitAll(jobs int) {
	const inTick = 20
	for i := range jobs {
		s.submit(i)
		if i%inTick == inTick-1 {
			s.now = s.now.Add(gate.DefaultTick)
			s.step(machine.Tick{})
			s.heartbeats()
		}
	}
}

func (s *site) submit(i int) {
	s.step(gate.Submit{
		Request: gate.RequestID(i),
		ID:      job.NewID("team", fmt.Sprint(i)),
		Token:   accountToken(),
		Spec: job.Spec{
			Account: "team", Class: "batch", Idempotent: true, Expected: time.Hour,
			Shape: floor.Shape{Workers: 1, Cores: 1}.Normal(), Input: []byte("input"),
		},
	})
}

func accountToken() account.TokenHash {
	return account.HashToken(capacityToken)
}

// mustRun lets time pass until the jobs run.
func (s *site) mustRun(tb testing.TB, jobs int) {
	tb.Helper()
	for range 40 {
		if s.runs >= jobs {
			return
		}
		s.now = s.now.Add(gate.DefaultTick)
		s.step(machine.Tick{})
		s.heartbeats()
	}
	tb.Fatalf("%d of %d jobs run", s.runs, jobs)
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTick measures a leader's look at what is due, which it takes four
// times a second, against running jobs.
func BenchmarkTick(b *testing.B) {
	for _, jobs := range []int{0, 1000, 4000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := newSite(b, 230)
			s.submitAll(jobs)
			s.mustRun(b, jobs)
			b.ReportAllocs()
			for b.Loop() {
				s.step(machine.Tick{})
			}
		})
	}
}

// BenchmarkHeartbeat measures the leader's part of one announcement, without
// the socket.
func BenchmarkHeartbeat(b *testing.B) {
	for _, workers := range []int{11, 230} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := newSite(b, workers)
			var node machine.Node
			for node = range s.nodes {
				break
			}
			b.ReportAllocs()
			for b.Loop() {
				s.step(machine.Message{From: node, Body: wire.Announce{Worker: s.nodes[node], Incarnation: 1, Epoch: s.epochs[node]}})
			}
		})
	}
}

// BenchmarkStart measures a job from its submission to all members running, with
// the heartbeats and ticks meanwhile, and the memory that it then takes at its
// leader and in the stand-in's table.
func BenchmarkStart(b *testing.B) {
	const jobs = 4000
	var each time.Duration
	var memory uint64
	for b.Loop() {
		s := newSite(b, 230)
		before, begun := heap(), time.Now()
		s.submitAll(jobs)
		each = time.Since(begun) / jobs
		s.mustRun(b, jobs)
		memory = (heap() - before) / jobs
		runtime.KeepAlive(s)
	}
	b.ReportMetric(float64(each.Nanoseconds()), "ns/job")
	b.ReportMetric(float64(memory), "B/job")
}
