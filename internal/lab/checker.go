package lab

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// MaxStartAfterLeave is the time after agent.Drain from which an upstream may start
	// no more tasks.
	MaxStartAfterLeave = 5 * time.Second

	// StoreGrace is the time after a fault of the store during which an idempotent
	// job may still start without a durable record.
	StoreGrace = 5 * time.Second
)

type (
	// Checker records what happens in a region, and checks the system's guarantees
	// after every step.
	Checker struct {
		// MaxPartialRun is the longest time for which members of a gang may run after
		// another member has ended. Zero means no bound.
		MaxPartialRun time.Duration

		region *Region

		// leaders has the gate whose orders were executed under each epoch,
		// highestEpoch the highest epoch whose orders each incarnation of an agent has
		// executed.
		leaders      map[lease.Epoch]machine.Node
		highestEpoch map[processIncarnation]lease.Epoch

		// reserved has the members whose reservation was accepted, started how often
		// each member of a job was started.
		reserved map[gang]map[job.Rank]bool
		started  map[job.ID]map[job.Rank]int

		// startDurable says that the record of a start was durable when the leader sent
		// the order to run, startDuringFault that the store had a fault then or at most
		// StoreGrace before.
		startDurable     map[gang]bool
		startDuringFault map[gang]bool

		// runnerOf has the runner of each started member.
		runnerOf map[gang]map[job.Rank]*Runner

		// partialSince is the time since when only a part of a gang runs.
		partialSince map[gang]time.Duration

		// notRun has, for each job, the last reply that it did not run; reported has the
		// last final record that a caller got; firstDuringFault has the first reply with a
		// final record that was given during a fault of the store or at most StoreGrace
		// after it.
		notRun           map[job.ID]pastReply
		reported         map[job.ID]job.Record
		firstDuringFault map[job.ID]pastReply

		// drainingSince is when each agent was asked to drain, lastPartialCheck when
		// checkPartial was called last.
		drainingSince    map[processIncarnation]time.Duration
		lastPartialCheck time.Duration
	}

	// processIncarnation identifies one incarnation of the process at a node.
	processIncarnation struct {
		node   machine.Node
		number uint64
	}

	// pastReply is a reply that later events may contradict: a refusal, or a reply
	// given during a fault of the store. duringFault says that the store had a fault
	// at the time of the reply or at most StoreGrace before.
	pastReply struct {
		call        *Call
		at          time.Duration
		duringFault bool
	}

	// gang identifies one attempt of a job under one epoch, with all its members.
	gang struct {
		job     job.ID
		attempt job.Attempt
		epoch   lease.Epoch
	}
)

// NewChecker returns a checker that checks every step of the region from now on.
func NewChecker(r *Region) *Checker {
	c := &Checker{
		region:           r,
		leaders:          make(map[lease.Epoch]machine.Node),
		highestEpoch:     make(map[processIncarnation]lease.Epoch),
		reserved:         make(map[gang]map[job.Rank]bool),
		started:          make(map[job.ID]map[job.Rank]int),
		startDurable:     make(map[gang]bool),
		startDuringFault: make(map[gang]bool),
		runnerOf:         make(map[gang]map[job.Rank]*Runner),
		partialSince:     make(map[gang]time.Duration),
		notRun:           make(map[job.ID]pastReply),
		reported:         make(map[job.ID]job.Record),
		firstDuringFault: make(map[job.ID]pastReply),
		drainingSince:    make(map[processIncarnation]time.Duration),
	}
	r.AddCheck(c.check)
	return c
}

// Starts returns the largest number of starts of any one member of a job, over all
// attempts and all incarnations of agents.
func (c *Checker) Starts(id job.ID) int {
	most := 0
	for _, n := range c.started[id] {
		most = max(most, n)
	}
	return most
}

// check checks one step.
func (c *Checker) check(step Step) error {
	if _, ok := step.Event.(agent.Drain); ok {
		c.drainingSince[incarnationOf(step.Process)] = c.region.Elapsed()
	}
	if err := c.checkOrders(step); err != nil {
		return err
	}
	for _, effect := range step.Effects {
		if err := c.checkEffect(step, effect); err != nil {
			return err
		}
	}
	if c.MaxPartialRun > 0 && c.region.Elapsed()-c.lastPartialCheck > time.Second {
		c.lastPartialCheck = c.region.Elapsed()
		return c.checkPartial()
	}
	return nil
}

// checkEffect checks or records one effect of a step.
func (c *Checker) checkEffect(step Step, effect machine.Effect) error {
	switch e := effect.(type) {
	case agent.RunTask:
		return c.checkRun(step, e)
	case gate.Reply:
		return c.checkReply(e)
	case machine.Send:
		if m, ok := e.Body.(wire.Run); ok {
			c.recordRunOrder(m.Task)
		}
		return nil
	default:
		return nil
	}
}

// checkOrders checks that agents execute the orders of only one leader in each epoch,
// and that no agent executes an order of a lower epoch than before.
func (c *Checker) checkOrders(step Step) error {
	message, ok := step.Event.(machine.Message)
	if !ok {
		return nil
	}
	order, ok := orderOf(message.Body)
	if !ok || !executed(step.Effects) {
		return nil
	}
	if m, ok := message.Body.(wire.Reserve); ok {
		c.recordReservation(m)
	}
	if known, ok := c.leaders[order.Epoch]; ok && known != message.From {
		return fmt.Errorf("%s executed orders of both %s and %s under epoch %d", step.Process.node, known, message.From, order.Epoch)
	}
	c.leaders[order.Epoch] = message.From
	key := incarnationOf(step.Process)
	if order.Epoch < c.highestEpoch[key] {
		return fmt.Errorf("%s executed an order of epoch %d after one of epoch %d", step.Process.node, order.Epoch, c.highestEpoch[key])
	}
	c.highestEpoch[key] = order.Epoch
	return nil
}

// recordReservation records an accepted reservation.
func (c *Checker) recordReservation(m wire.Reserve) {
	g := gangOf(m.Task)
	if c.reserved[g] == nil {
		c.reserved[g] = make(map[job.Rank]bool)
	}
	c.reserved[g][m.Task.Rank] = true
}

// checkRun checks the start of a member: that the job was not reported as not run,
// that a non-idempotent job starts once, that all members are reserved, that the
// agent is not draining, and that the record of the start is durable. An idempotent job
// may start without a durable record during a fault of the store and up to StoreGrace
// after it.
func (c *Checker) checkRun(step Step, e agent.RunTask) error {
	id := e.Task.Job
	if c.started[id] == nil {
		c.started[id] = make(map[job.Rank]int)
	}
	c.started[id][e.Task.Rank]++
	c.recordRunner(step, e)
	if reply, ok := c.notRun[id]; ok && !c.resubmitted(reply) {
		return fmt.Errorf("job %s started after request %d was answered that it did not run", id, reply.call.Request)
	}
	if !e.Spec.Idempotent && c.started[id][e.Task.Rank] > 1 {
		return fmt.Errorf("non-idempotent job %s was started twice", id)
	}
	for rank := range e.Spec.Shape.Workers {
		if !c.reserved[gangOf(e.Task)][job.Rank(rank)] {
			return fmt.Errorf("job %s started although member %d was not reserved", id, rank)
		}
	}
	if since, ok := c.drainingSince[incarnationOf(step.Process)]; ok && c.region.Elapsed()-since > MaxStartAfterLeave {
		return fmt.Errorf("%s started a task %v after it began to drain", step.Process.node, c.region.Elapsed()-since)
	}
	if e.Spec.Idempotent && c.startDuringFault[gangOf(e.Task)] {
		return nil
	}
	if !c.startDurable[gangOf(e.Task)] && !c.isDurable(e.Task) {
		return fmt.Errorf("attempt %d of job %s started although its start is not durable", e.Task.Attempt, id)
	}
	return nil
}

// recordRunOrder records whether the start of an attempt was durable when the leader
// ordered its members to run, and whether the store had a fault then.
func (c *Checker) recordRunOrder(id wire.TaskID) {
	g := gangOf(id)
	c.startDurable[g] = c.startDurable[g] || c.isDurable(id)
	c.startDuringFault[g] = c.startDuringFault[g] || c.region.Store.FaultyWithin(StoreGrace)
}

// isDurable reports whether the table has a record of the start of an attempt.
func (c *Checker) isDurable(id wire.TaskID) bool {
	for _, prefix := range []string{"live/", "done/"} {
		row, ok := c.region.Store.Row(table.Key(prefix + string(RegionID) + "/" + string(id.Job)))
		var record job.Record
		if !ok || json.Unmarshal(row.Value, &record) != nil {
			continue
		}
		if record.Attempt == id.Attempt && (record.State == job.StateStarted || record.State.Final()) {
			return true
		}
	}
	return false
}

// recordRunner records the runner of a started member.
func (c *Checker) recordRunner(step Step, e agent.RunTask) {
	g := gangOf(e.Task)
	if c.runnerOf[g] == nil {
		c.runnerOf[g] = make(map[job.Rank]*Runner)
	}
	for _, r := range c.region.Runners {
		if r.Process == step.Process {
			c.runnerOf[g][e.Task.Rank] = r
		}
	}
}

// checkPartial checks that no gang has run with a part of its members for longer than
// MaxPartialRun. A member counts as ended once its runner no longer holds its task.
func (c *Checker) checkPartial() error {
	for g, members := range c.runnerOf {
		running, ended := 0, 0
		for rank, r := range members {
			switch t, ok := r.tasks[wire.TaskID{Job: g.job, Attempt: g.attempt, Rank: rank, Epoch: g.epoch}]; {
			case !ok:
				ended++
			case !t.done:
				running++
			}
		}
		if running == 0 || ended == 0 {
			delete(c.partialSince, g)
			continue
		}
		since, ok := c.partialSince[g]
		if !ok {
			c.partialSince[g] = c.region.Elapsed()
		} else if c.region.Elapsed()-since > c.MaxPartialRun {
			return fmt.Errorf("%d members of job %s still run %v after another member ended", running, g.job, c.region.Elapsed()-since)
		}
	}
	return nil
}

func incarnationOf(p *Process) processIncarnation {
	return processIncarnation{node: p.node, number: p.incarnation}
}

func gangOf(id wire.TaskID) gang {
	return gang{job: id.Job, attempt: id.Attempt, epoch: id.Epoch}
}

// orderOf returns the order in a leader's message to an agent, if there is one.
func orderOf(body any) (wire.Order, bool) {
	switch m := body.(type) {
	case wire.Reserve:
		return m.Order, true
	case wire.Run:
		return m.Order, true
	case wire.Stop:
		return m.Order, true
	case wire.Throttle:
		return m.Order, true
	default:
		return wire.Order{}, false
	}
}

// executed reports whether the effects show that an agent executed an order.
func executed(effects []machine.Effect) bool {
	for _, effect := range effects {
		switch e := effect.(type) {
		case agent.RunTask, agent.StopTask:
			return true
		case machine.Send:
			switch m := e.Body.(type) {
			case wire.Reserved:
				return m.Reason == ""
			case wire.Running, wire.Stopped:
				return true
			}
		}
	}
	return false
}
