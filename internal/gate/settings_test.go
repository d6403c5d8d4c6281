package gate_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/lab"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// targetSpreadLimit is the time within which a change must be held by all
	// gates and agents at the target size, 6 gates and 680 agents.
	targetSpreadLimit = 18 * time.Second

	// currentSpreadLimit is that time at the current size, 2 gates and 11
	// agents.
	currentSpreadLimit = 5 * time.Second
)

// TestConcurrentEdits lets two operators change one account at two gates, both
// based on the same revision. One edit must be accepted, and the other rejected
// with the change that was made instead.
func TestConcurrentEdits(t *testing.T) {
	for seed := range uint64(30) {
		s := newSettingsRegion(t, seed, 2, 2)
		s.Network.LossProbability = 0.1 * float64(seed%3)
		s.run(10 * time.Second)
		base := s.requireChange(s.postEdit(s.Gates[0], gate.Edit{Create: true}, "parks", 1)).Revision
		s.run(5 * time.Second)
		first := s.postEdit(s.Gates[0], gate.Edit{Match: base}, "parks", 2)
		s.run(time.Duration(seed) * time.Millisecond)
		second := s.postEdit(s.Gates[1], gate.Edit{Match: base}, "parks", 3)
		accepted, rejected := s.waitForAnswer(first), s.waitForAnswer(second)
		if accepted.Err != nil {
			accepted, rejected = rejected, accepted
		}
		var conflict *gate.RevisionConflictError
		if accepted.Err != nil || !errors.As(rejected.Err, &conflict) || conflict.Current.ID != accepted.Change.ID {
			t.Errorf("seed %d: got %v and %v", seed, accepted.Err, rejected.Err)
		}
		s.checkAnswers()
	}
}

// TestEditAnswerLost loses the answers of the store (odd seeds) or the
// operations themselves (even seeds) while an edit is made. A change whose
// write was not answered must be made exactly once.
func TestEditAnswerLost(t *testing.T) {
	for seed := range uint64(30) {
		s := newSettingsRegion(t, seed, 2, 0)
		s.run(10 * time.Second)
		s.Store.LossProbability = float64(seed % 2)
		s.Store.Silent = seed%2 == 0
		id := s.postEdit(s.Gates[seed/2%2], gate.Edit{Create: true}, "parks", 7)
		s.run(time.Duration(seed) * 100 * time.Millisecond)
		s.Store.Heal()
		s.requireChange(id)
		if stored := s.storedChanges(); len(stored) != 1 {
			t.Errorf("seed %d: %d changes, want 1", seed, len(stored))
		}
	}
}

// TestRefusedGuarantee sets a guarantee that the floor has no capacity for.
// Before all agents have had the time to announce themselves the edit is
// answered as unavailable, and afterwards as refused with the guarantee.
func TestRefusedGuarantee(t *testing.T) {
	policy := func() scheduler.Policy { return noGuarantees{baseline.NewFirstFit()} }
	s := newSettingsRegion(t, 1, 2, 1, gate.WithPolicy(policy))
	s.runUntil(time.Minute, func() bool { return s.Leader() != nil })
	shape := floor.Shape{Workers: 2, Accelerators: 8}
	guarantees := []account.Guarantee{{Shape: shape, Count: 9}}
	value := account.Value{Account: &account.Account{Overrides: account.Overrides{Guarantees: &guarantees}}}
	answer := s.waitForAnswer(s.postEdit(s.Gates[0], gate.Edit{Create: true, Value: value}, "parks", 1))
	var unavailable *gate.UnavailableError
	if !errors.As(answer.Err, &unavailable) {
		t.Errorf("before all agents could announce themselves: got %v", answer.Err)
	}
	s.run(gate.DefaultAgentTimeout)
	for i, gateProcess := range s.Gates {
		answer := s.waitForAnswer(s.postEdit(gateProcess, gate.Edit{Create: true, Value: value}, "parks", 1))
		var refused *gate.GuaranteeError
		if !errors.As(answer.Err, &refused) || refused.Count != 9 || refused.Account != "parks" {
			t.Errorf("gate %d: got %v", i, answer.Err)
		}
	}
	if stored := s.storedChanges(); len(stored) != 0 {
		t.Errorf("%d changes, want none", len(stored))
	}
}

// noGuarantees is a policy that rejects every guarantee.
type noGuarantees struct{ scheduler.Policy }

func (noGuarantees) CheckAccounts(accounts []account.Account) error {
	for _, a := range accounts {
		for _, g := range a.Parameters.Guarantees {
			return &scheduler.GuaranteeError{Account: a.Name, Shape: g.Shape, Count: g.Count}
		}
	}
	return nil
}

// TestSettingsDuringOutage isolates a gate from the others while a change is
// made, and then takes the store down. The gate must receive the change from
// another gate once the network is healed. A gate that restarts during the
// outage must receive it too.
func TestSettingsDuringOutage(t *testing.T) {
	s := newSettingsRegion(t, 1, 3, 2)
	s.run(10 * time.Second)
	s.Network.Isolate(s.Gates[2].Node())
	change := s.requireChange(s.postEdit(s.Gates[0], gate.Edit{Create: true}, "parks", 7))
	s.Store.Down = true
	s.run(time.Minute)
	s.Network.Heal()
	s.runUntil(targetSpreadLimit, func() bool { return revisionOf(s.Gates[2]) == change.Revision })
	s.Gates[1].Restart()
	s.runUntil(targetSpreadLimit, func() bool { return revisionOf(s.Gates[1]) == change.Revision })
}

// TestStaleSettings submits at a gate that has been cut off from the store and
// from all other gates for longer than gate.SettingsMaxAge, with and without a
// restart. It must not answer that the job did not run, since it cannot know. A
// gate that reaches another gate must not refuse at once.
func TestStaleSettings(t *testing.T) {
	for _, restart := range []bool{false, true} {
		s := newSettingsRegion(t, 1, 3, 2)
		s.run(10 * time.Second)
		s.Store.Down = true
		s.Network.Isolate(s.Gates[2].Node())
		if restart {
			s.Gates[2].Restart()
		}
		s.run(gate.SettingsMaxAge + 10*time.Second)
		isolated := s.Callers.Submit(s.Gates[2], "stale", lab.SpecOf(1, true, time.Second), 0)
		s.run(time.Second)
		var unavailable *gate.UnavailableError
		if isolated.Reply == nil || !errors.As(isolated.Reply.Err, &unavailable) || unavailable.Ran != job.MayHaveRun {
			t.Errorf("restart %v: got %+v", restart, isolated.Reply)
		}
		connected := s.Callers.Submit(s.Gates[1], "joined", lab.SpecOf(1, true, time.Second), 0)
		s.run(time.Second)
		if connected.Reply != nil && connected.Reply.Err != nil {
			t.Errorf("a gate that reaches another gate refused at once: %v", connected.Reply.Err)
		}
	}
}

// TestStaleRefusal submits non-idempotent jobs at a gate that was paused for
// longer than gate.SettingsMaxAge. A job that has already run is answered as
// done. A new job is refused, and a copy of its request at the other gate must
// be refused too.
func TestStaleRefusal(t *testing.T) {
	s := newSettingsRegion(t, 1, 2, 2)
	s.run(10 * time.Second)
	earlier := s.Callers.Submit(s.Gates[0], "ran", lab.SpecOf(1, false, time.Second), time.Minute)
	s.runUntil(time.Minute, func() bool { return earlier.Reply != nil })
	s.Gates[1].Pause()
	s.run(gate.SettingsMaxAge + 10*time.Second)
	repeated := s.Callers.Submit(s.Gates[1], "ran", lab.SpecOf(1, false, time.Second), time.Minute)
	newJob := s.Callers.Submit(s.Gates[1], "new", lab.SpecOf(1, false, time.Second), time.Minute)
	s.run(time.Second)
	s.Gates[1].Resume()
	s.run(20 * time.Second)
	duplicate := s.Callers.Submit(s.Gates[0], "new", lab.SpecOf(1, false, time.Second), time.Minute)
	s.run(20 * time.Second)
	if repeated.Reply == nil || repeated.Reply.Record.State != job.StateDone {
		t.Errorf("job that has run: got %+v, want done", repeated.Reply)
	}
	for _, call := range []*lab.Call{newJob, duplicate} {
		if call.Reply == nil || call.Reply.Record.State != job.StateRefused || call.Reply.Record.Ran != job.NotRun {
			t.Errorf("new job: got %+v, want refused as not run", call.Reply)
		}
	}
	if started := len(s.Runners[0].Started) + len(s.Runners[1].Started); started != 1 {
		t.Errorf("%d tasks started, want 1", started)
	}
}

// TestRevisionNeverDecreases changes settings under random faults of processes,
// links and the store. settingsRegion checks every step. In the end all
// processes must hold the newest revision, and the answers to the operators
// must agree with the table.
func TestRevisionNeverDecreases(t *testing.T) {
	for seed := range uint64(12) {
		s := newSettingsRegion(t, seed, 3, 4)
		random := rand.New(rand.NewPCG(seed, 7))
		s.run(10 * time.Second)
		for i := range 20 {
			s.After(time.Duration(random.IntN(240))*time.Second, func() {
				process := s.Gates[random.IntN(len(s.Gates))]
				if !process.Up() {
					return
				}
				name := fmt.Sprint("account-", i%3)
				current, _, known := process.Machine().(*gate.Gate).Settings()
				if !known {
					return
				}
				change, exists := current.Change(account.Subject{Kind: account.KindAccount, Name: name})
				s.postEdit(process, gate.Edit{Match: change.Revision, Create: !exists}, name, 1+i)
			})
		}
		if err := lab.NewChaos(s.Region).Run(4*time.Minute, time.Minute); err != nil {
			t.Fatal(err)
		}
		stored := s.storedChanges()
		for _, change := range stored {
			if !s.heldEverywhere(change.Revision) {
				t.Errorf("seed %d: revision %d is not held by all gates and agents", seed, change.Revision)
			}
		}
		s.checkAnswers()
		t.Logf("seed %d: %d changes made of %d edits, %d steps", seed, len(stored), len(s.edits), s.Steps())
	}
}

// TestNewerAgent sends the leader the announcement of an agent that holds newer
// settings than the leader.
// The leader must not answer: the answer would make the agent announce itself
// again at once, and the two would exchange messages without pause. An agent
// that holds no newer settings must be answered.
func TestNewerAgent(t *testing.T) {
	for _, newer := range []bool{false, true} {
		s := newSettingsRegion(t, 1, 1, 0)
		s.runUntil(time.Minute, func() bool { return s.Leader() != nil })
		s.run(10 * time.Second)
		announce := wire.Announce{Worker: floor.Worker{ID: "worker", Region: lab.RegionID}, Incarnation: 1}
		if newer {
			announce.Revision = 99
		}
		answers := 0
		s.AddCheck(func(step lab.Step) error {
			for _, effect := range step.Effects {
				if send, ok := effect.(machine.Send); ok && send.To == "agent" {
					answers++
				}
			}
			return nil
		})
		s.Gates[0].Post(machine.Message{From: "agent", Body: announce})
		s.run(time.Second)
		if (answers == 0) != newer {
			t.Errorf("newer %v: %d answers", newer, answers)
		}
	}
}

// TestSpread measures the time from an operator's request until all gates and
// agents hold the change, with and without message loss.
func TestSpread(t *testing.T) {
	tests := []struct {
		gates, agents int
		loss          float64
		limit         time.Duration
	}{
		{2, 11, 0, currentSpreadLimit},
		{2, 11, 0.2, currentSpreadLimit},
		{6, 680, 0.2, targetSpreadLimit},
	}
	for _, test := range tests {
		s := newSettingsRegion(t, 1, test.gates, 0)
		s.addAgents(test.agents)
		s.run(20 * time.Second)
		s.Network.LossProbability, s.Network.DuplicateProbability = test.loss, test.loss/2
		s.Network.Delay, s.Network.Jitter = 5*time.Millisecond, 500*time.Millisecond
		worst := time.Duration(0)
		messagesBefore := s.Messages()
		const changes = 5
		for i := range changes {
			start := s.Elapsed()
			gateProcess := s.Gates[i%test.gates]
			change := s.requireChange(s.postEdit(gateProcess, gate.Edit{Create: true}, fmt.Sprint("account-", i), 1+i))
			s.runUntil(test.limit, func() bool { return s.heldEverywhere(change.Revision) })
			worst = max(worst, s.Elapsed()-start)
			s.run(targetSpreadLimit)
		}
		t.Logf("%d gates, %d agents, %.0f%% lost: at worst %v, %d messages in %v",
			test.gates, test.agents, 100*test.loss, worst, s.Messages()-messagesBefore, s.Elapsed())
		if worst > test.limit {
			t.Errorf("the change took %v to spread, want at most %v", worst, test.limit)
		}
	}
}

// addAgents adds agents in eight data centres. 24 consecutive agents have the
// same rack ID, which makes three to a rack in each data centre.
func (s *settingsRegion) addAgents(count int) {
	var nodes []machine.Node
	for _, gateProcess := range s.Gates {
		nodes = append(nodes, gateProcess.Node())
	}
	for i := range count {
		s.Runners = append(s.Runners, s.AddAgent(machine.Node(fmt.Sprint("agent-", i)), floor.Worker{
			ID:           floor.WorkerID(fmt.Sprint("worker-", i)),
			Rack:         floor.RackID(fmt.Sprint("rack-", i/24)),
			DataCentre:   floor.DataCentreID(fmt.Sprint("dc-", i%8)),
			Region:       lab.RegionID,
			Accelerators: 8,
			Cores:        32,
			Memory:       64 << 10,
			Slots:        8,
		}, nodes))
	}
}

// TestStoreOperations bounds the store operations of all gates together for a
// change, beyond those of an idle region: one transaction and at most one read
// or scan, and one transaction more over all changes.
func TestStoreOperations(t *testing.T) {
	const gates, changes = 6, 20
	idle := newSettingsRegion(t, 1, gates, 0)
	busy := newSettingsRegion(t, 1, gates, 0)
	idle.run(10 * time.Second)
	busy.run(10 * time.Second)
	before := busy.Store.Memory.Counts()
	for i := range changes {
		busy.requireChange(busy.postEdit(busy.Gates[i%gates], gate.Edit{Create: true}, fmt.Sprint("account-", i), 1+i))
		busy.run(5 * time.Second)
	}
	idleBefore := idle.Store.Memory.Counts()
	idle.run(busy.Elapsed() - idle.Elapsed())
	after, idleAfter := busy.Store.Memory.Counts(), idle.Store.Memory.Counts()
	commits := (after.Commits - before.Commits) - (idleAfter.Commits - idleBefore.Commits)
	reads := (after.Reads + after.Scans - before.Reads - before.Scans) -
		(idleAfter.Reads + idleAfter.Scans - idleBefore.Reads - idleBefore.Scans)
	t.Logf("%d changes: %d commits, %d reads and scans beyond those of an idle region", changes, commits, reads)
	if commits > changes+1 || reads > changes {
		t.Errorf("%d commits and %d reads for %d changes", commits, reads, changes)
	}
}

// TestExchangeBytes bounds the bytes per second that a gate sends to other
// gates about settings while none of 240 accounts changes. The budget is that
// of a node for all control traffic.
func TestExchangeBytes(t *testing.T) {
	const gates, budget = 6, 5000
	const window = 100 * time.Second
	s := newSettingsRegion(t, 1, gates, 0)
	s.addAgents(680)
	s.run(30 * time.Second)
	for i := range 240 {
		s.requireChange(s.postEdit(s.Gates[0], gate.Edit{Create: true}, fmt.Sprint("account-", i), 1+i))
	}
	s.run(30 * time.Second)
	sentBytes := make(map[machine.Node]int)
	s.AddCheck(func(step lab.Step) error {
		for _, effect := range step.Effects {
			send, _ := effect.(machine.Send)
			switch send.Body.(type) {
			case wire.ChangesRequest, wire.Changes:
				data, err := wire.Encode(step.Process.Node(), send.Body)
				if err != nil {
					return err
				}
				sentBytes[step.Process.Node()] += len(data)
			}
		}
		return nil
	})
	s.run(window)
	maxBytes := 0
	for _, bytes := range sentBytes {
		maxBytes = max(maxBytes, bytes)
	}
	bytesPerSecond := maxBytes / int(window.Seconds())
	t.Logf("%d gates: at most %d bytes per second from a gate", gates, bytesPerSecond)
	if bytesPerSecond > budget || bytesPerSecond == 0 {
		t.Errorf("%d bytes per second, want more than 0 and at most %d", bytesPerSecond, budget)
	}
}
