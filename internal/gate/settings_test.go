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
	// targetSpread is the time in which a change is in force at the target size.
	targetSpread = 18 * time.Second

	// todaySpread is the time in which a change is in force at today's size.
	todaySpread = 5 * time.Second
)

// TestRace lets two operators change one account at two gates from one version.
func TestRace(t *testing.T) {
	for seed := range uint64(30) {
		o := newOperated(t, seed, 2, 2)
		o.Network.Loss = 0.1 * float64(seed%3)
		o.run(10 * time.Second)
		match := o.must(o.edit(o.Gates[0], gate.Edit{Create: true}, "parks", 1)).Revision
		o.run(5 * time.Second)
		first := o.edit(o.Gates[0], gate.Edit{Match: match}, "parks", 2)
		o.run(time.Duration(seed) * time.Millisecond)
		second := o.edit(o.Gates[1], gate.Edit{Match: match}, "parks", 3)
		won, lost := o.answer(first), o.answer(second)
		if won.Err != nil {
			won, lost = lost, won
		}
		var raced *gate.RacedError
		if won.Err != nil || !errors.As(lost.Err, &raced) || raced.Current.ID != won.Change.ID {
			t.Errorf("seed %d: got %v and %v", seed, won.Err, lost.Err)
		}
		o.settled()
	}
}

// TestLostAnswer loses the answer of the write, or the write itself, and of other
// operations after it, and looks that the change is made once.
func TestLostAnswer(t *testing.T) {
	for seed := range uint64(30) {
		o := newOperated(t, seed, 2, 0)
		o.run(10 * time.Second)
		o.Store.Lost = float64(seed % 2)
		o.Store.Silent = seed%2 == 0
		id := o.edit(o.Gates[seed/2%2], gate.Edit{Create: true}, "parks", 7)
		o.run(time.Duration(seed) * 100 * time.Millisecond)
		o.Store.Heal()
		o.must(id)
		if made := o.changes(); len(made) != 1 {
			t.Errorf("seed %d: %d changes", seed, len(made))
		}
	}
}

// TestRefusedGuarantee sets a guarantee that the floor cannot hold: before its
// workers have had the time to announce themselves, and after.
func TestRefusedGuarantee(t *testing.T) {
	policy := func() scheduler.Policy { return narrow{baseline.NewFirstFit()} }
	o := newOperated(t, 1, 2, 1, gate.WithPolicy(policy))
	o.until(time.Minute, func() bool { return o.Leader() != nil })
	shape := floor.Shape{Workers: 2, Accelerators: 8}
	guarantees := []account.Guarantee{{Shape: shape, Count: 9}}
	value := account.Value{Account: &account.Account{Overrides: account.Overrides{Guarantees: &guarantees}}}
	answer := o.answer(o.edit(o.Gates[0], gate.Edit{Create: true, Value: value}, "parks", 1))
	var unavailable *gate.UnavailableError
	if !errors.As(answer.Err, &unavailable) {
		t.Errorf("before the floor is known: got %v", answer.Err)
	}
	o.run(gate.DefaultAgentTimeout)
	for i, p := range o.Gates {
		answer := o.answer(o.edit(p, gate.Edit{Create: true, Value: value}, "parks", 1))
		var refused *gate.GuaranteeError
		if !errors.As(answer.Err, &refused) || refused.Count != 9 || refused.Account != "parks" {
			t.Errorf("gate %d: got %v", i, answer.Err)
		}
	}
	if made := o.changes(); len(made) != 0 {
		t.Errorf("%d changes", len(made))
	}
}

// narrow is a policy whose floor holds no guarantees.
type narrow struct{ scheduler.Policy }

func (narrow) CheckAccounts(accounts []account.Account) error {
	for _, a := range accounts {
		for _, g := range a.Parameters.Guarantees {
			return &scheduler.GuaranteeError{Account: a.Name, Shape: g.Shape, Count: g.Count}
		}
	}
	return nil
}

// TestStoreDown cuts a gate off from the others while a change is made, and then
// takes the store away. The gate gets the change from another gate, also after
// it has lost all that it knew.
func TestStoreDown(t *testing.T) {
	o := newOperated(t, 1, 3, 2)
	o.run(10 * time.Second)
	o.Network.Isolate(o.Gates[2].Node())
	c := o.must(o.edit(o.Gates[0], gate.Edit{Create: true}, "parks", 7))
	o.Store.Down = true
	o.run(time.Minute)
	o.Network.Heal()
	o.until(targetSpread, func() bool { return revisionOf(o.Gates[2]) == c.Revision })
	o.Gates[1].Restart()
	o.until(targetSpread, func() bool { return revisionOf(o.Gates[1]) == c.Revision })
}

// TestStale submits at a gate that has been cut off from the store and from all
// other gates for longer than the bound, and at one that has only just begun.
// Neither says that the job did not run, since neither can know.
func TestStale(t *testing.T) {
	for _, restart := range []bool{false, true} {
		o := newOperated(t, 1, 3, 2)
		o.run(10 * time.Second)
		o.Store.Down = true
		o.Network.Isolate(o.Gates[2].Node())
		if restart {
			o.Gates[2].Restart()
		}
		o.run(gate.SettingsBound + 10*time.Second)
		call := o.Callers.Submit(o.Gates[2], "stale", lab.SpecOf(1, true, time.Second), 0)
		o.run(time.Second)
		var unavailable *gate.UnavailableError
		if call.Reply == nil || !errors.As(call.Reply.Err, &unavailable) || unavailable.Ran != job.MayHaveRun {
			t.Errorf("restart %v: got %+v", restart, call.Reply)
		}
		joined := o.Callers.Submit(o.Gates[1], "joined", lab.SpecOf(1, true, time.Second), 0)
		o.run(time.Second)
		if joined.Reply != nil && joined.Reply.Err != nil {
			t.Errorf("a gate that reaches another refused at once: %v", joined.Reply.Err)
		}
	}
}

// TestStaleRefusal submits at a gate that was paused for longer than the bound.
// The refusal holds at the other gate too; a job that has run is not refused.
func TestStaleRefusal(t *testing.T) {
	o := newOperated(t, 1, 2, 2)
	o.run(10 * time.Second)
	ran := o.Callers.Submit(o.Gates[0], "ran", lab.SpecOf(1, false, time.Second), time.Minute)
	o.until(time.Minute, func() bool { return ran.Reply != nil })
	o.Gates[1].Pause()
	o.run(gate.SettingsBound + 10*time.Second)
	again := o.Callers.Submit(o.Gates[1], "ran", lab.SpecOf(1, false, time.Second), time.Minute)
	fresh := o.Callers.Submit(o.Gates[1], "new", lab.SpecOf(1, false, time.Second), time.Minute)
	o.run(time.Second)
	o.Gates[1].Resume()
	o.run(20 * time.Second)
	copied := o.Callers.Submit(o.Gates[0], "new", lab.SpecOf(1, false, time.Second), time.Minute)
	o.run(20 * time.Second)
	if again.Reply == nil || again.Reply.Record.State != job.StateDone {
		t.Errorf("the job that ran: got %+v", again.Reply)
	}
	for _, call := range []*lab.Call{fresh, copied} {
		if call.Reply == nil || call.Reply.Record.State != job.StateRefused || call.Reply.Record.Ran != job.NotRun {
			t.Errorf("the new job: got %+v", call.Reply)
		}
	}
	if started := len(o.Runners[0].Started) + len(o.Runners[1].Started); started != 1 {
		t.Errorf("%d tasks started", started)
	}
}

// TestNeverBack changes settings while processes, links and the store fail. The
// checks of operated hold after every step; in the end all processes hold the
// newest revision, and operators were told the truth.
func TestNeverBack(t *testing.T) {
	for seed := range uint64(12) {
		o := newOperated(t, seed, 3, 4)
		random := rand.New(rand.NewPCG(seed, 7))
		o.run(10 * time.Second)
		for i := range 20 {
			o.After(time.Duration(random.IntN(240))*time.Second, func() {
				p := o.Gates[random.IntN(len(o.Gates))]
				if !p.Up() {
					return
				}
				name := fmt.Sprint("account-", i%3)
				current, _, known := p.Machine().(*gate.Gate).Settings()
				if !known {
					return
				}
				c, ok := current.Change(account.Subject{Kind: account.KindAccount, Name: name})
				o.edit(p, gate.Edit{Match: c.Revision, Create: !ok}, name, 1+i)
			})
		}
		if err := lab.NewChaos(o.Region).Run(4*time.Minute, time.Minute); err != nil {
			t.Fatal(err)
		}
		made := o.changes()
		for _, c := range made {
			if !o.everywhere(c.Revision) {
				t.Errorf("seed %d: revision %d is not everywhere", seed, c.Revision)
			}
		}
		o.settled()
		t.Logf("seed %d: %d changes made of %d, %d steps", seed, len(made), len(o.edits), o.Steps())
	}
}

// TestNewerAgent announces an agent that holds newer settings than its leader. An
// answer would make it announce itself at once, and so on at the speed of the link.
func TestNewerAgent(t *testing.T) {
	for _, newer := range []bool{false, true} {
		o := newOperated(t, 1, 1, 0)
		o.until(time.Minute, func() bool { return o.Leader() != nil })
		o.run(10 * time.Second)
		announce := wire.Announce{Worker: floor.Worker{ID: "worker", Region: lab.RegionID}, Incarnation: 1}
		if newer {
			announce.Revision = 99
		}
		answers := 0
		o.Watch(func(trace lab.Trace) error {
			for _, effect := range trace.Effects {
				if send, ok := effect.(machine.Send); ok && send.To == "agent" {
					answers++
				}
			}
			return nil
		})
		o.Gates[0].Post(machine.Message{From: "agent", Body: announce})
		o.run(time.Second)
		if (answers == 0) != newer {
			t.Errorf("newer %v: %d answers", newer, answers)
		}
	}
}

// TestSpread measures the time from an operator's request until the change is in
// force at all gates and agents, over lossy links.
func TestSpread(t *testing.T) {
	tests := []struct {
		gates, agents int
		loss          float64
		limit         time.Duration
	}{
		{2, 11, 0, todaySpread},
		{2, 11, 0.2, todaySpread},
		{6, 680, 0.2, targetSpread},
	}
	for _, test := range tests {
		o := newOperated(t, 1, test.gates, 0)
		o.addAgents(test.agents)
		o.run(20 * time.Second)
		o.Network.Loss, o.Network.Duplicate = test.loss, test.loss/2
		o.Network.Delay, o.Network.Spread = 5*time.Millisecond, 500*time.Millisecond
		worst := time.Duration(0)
		messages := o.Messages()
		const changes = 5
		for i := range changes {
			begin := o.Elapsed()
			p := o.Gates[i%test.gates]
			c := o.must(o.edit(p, gate.Edit{Create: true}, fmt.Sprint("account-", i), 1+i))
			o.until(test.limit, func() bool { return o.everywhere(c.Revision) })
			worst = max(worst, o.Elapsed()-begin)
			o.run(targetSpread)
		}
		t.Logf("%d gates, %d agents, %.0f%% lost: at worst %v, %d messages in %v",
			test.gates, test.agents, 100*test.loss, worst, o.Messages()-messages, o.Elapsed())
		if worst > test.limit {
			t.Errorf("took %v, more than %v", worst, test.limit)
		}
	}
}

// addAgents adds agents in eight data centres, three to a rack.
func (o *operated) addAgents(count int) {
	var nodes []machine.Node
	for _, p := range o.Gates {
		nodes = append(nodes, p.Node())
	}
	for i := range count {
		o.Runners = append(o.Runners, o.AddAgent(machine.Node(fmt.Sprint("agent-", i)), floor.Worker{
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

// TestStoreOperations counts what the store carries out for a change at all gates
// together: one transaction, and no more than one read.
func TestStoreOperations(t *testing.T) {
	const gates, changes = 6, 20
	quiet := newOperated(t, 1, gates, 0)
	busy := newOperated(t, 1, gates, 0)
	quiet.run(10 * time.Second)
	busy.run(10 * time.Second)
	before := busy.Store.Memory.Counts()
	for i := range changes {
		busy.must(busy.edit(busy.Gates[i%gates], gate.Edit{Create: true}, fmt.Sprint("account-", i), 1+i))
		busy.run(5 * time.Second)
	}
	quietBefore := quiet.Store.Memory.Counts()
	quiet.run(busy.Elapsed() - quiet.Elapsed())
	after, quietAfter := busy.Store.Memory.Counts(), quiet.Store.Memory.Counts()
	commits := (after.Commits - before.Commits) - (quietAfter.Commits - quietBefore.Commits)
	reads := (after.Reads + after.Scans - before.Reads - before.Scans) -
		(quietAfter.Reads + quietAfter.Scans - quietBefore.Reads - quietBefore.Scans)
	t.Logf("%d changes: %d commits, %d reads and scans beyond those of a region at rest", changes, commits, reads)
	if commits > changes+1 || reads > changes {
		t.Errorf("%d commits and %d reads for %d changes", commits, reads, changes)
	}
}

// TestExchangeBytes counts what gates send each other about settings while
// nothing changes in 240 accounts, against the budget of a node for all of its
// control.
func TestExchangeBytes(t *testing.T) {
	const gates, budget = 6, 5000
	const window = 100 * time.Second
	o := newOperated(t, 1, gates, 0)
	o.addAgents(680)
	o.run(30 * time.Second)
	for i := range 240 {
		o.must(o.edit(o.Gates[0], gate.Edit{Create: true}, fmt.Sprint("account-", i), 1+i))
	}
	o.run(30 * time.Second)
	sent := make(map[machine.Node]int)
	o.Watch(func(trace lab.Trace) error {
		for _, effect := range trace.Effects {
			send, _ := effect.(machine.Send)
			switch send.Body.(type) {
			case wire.Revisions, wire.Changes:
				data, err := wire.Encode(trace.Process.Node(), send.Body)
				if err != nil {
					return err
				}
				sent[trace.Process.Node()] += len(data)
			}
		}
		return nil
	})
	o.run(window)
	most := 0
	for _, bytes := range sent {
		most = max(most, bytes)
	}
	perSecond := most / int(window.Seconds())
	t.Logf("%d gates: up to %d bytes a second from a gate", gates, perSecond)
	if perSecond > budget || perSecond == 0 {
		t.Errorf("%d bytes a second, the budget is %d", perSecond, budget)
	}
}
