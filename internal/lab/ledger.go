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
	// LeaveBound is the time after which a leaving upstream starts nothing.
	LeaveBound = 5 * time.Second

	// StoreGrace is the time after a fault of the store in which an idempotent
	// job may still start without a durable record.
	StoreGrace = 5 * time.Second
)

type (
	// Ledger checks the promises after every step of a region.
	Ledger struct {
		// PartialBound is the longest time for which members of a gang may
		// compute when another of them no longer does. Zero is no bound.
		PartialBound time.Duration

		region   *Region
		leaders  map[lease.Epoch]machine.Node
		obeyed   map[life]lease.Epoch
		reserved map[gang]map[job.Rank]bool
		started  map[job.ID]map[job.Rank]int
		durable  map[gang]bool
		volatile map[gang]bool
		launched map[gang]map[job.Rank]*Runner
		broken   map[gang]time.Duration
		notRun   map[job.ID]refusal
		told     map[job.ID]job.Record
		unsure   map[job.ID]refusal
		leaving  map[life]time.Duration
		looked   time.Duration
	}

	life struct {
		node machine.Node
		life uint64
	}

	refusal struct {
		call   *Call
		told   time.Duration
		outage bool
	}

	gang struct {
		job     job.ID
		attempt job.Attempt
		epoch   lease.Epoch
	}
)

// NewLedger returns a ledger that watches the region from now on.
func NewLedger(r *Region) *Ledger {
	l := &Ledger{
		region:   r,
		leaders:  make(map[lease.Epoch]machine.Node),
		obeyed:   make(map[life]lease.Epoch),
		reserved: make(map[gang]map[job.Rank]bool),
		started:  make(map[job.ID]map[job.Rank]int),
		durable:  make(map[gang]bool),
		volatile: make(map[gang]bool),
		launched: make(map[gang]map[job.Rank]*Runner),
		broken:   make(map[gang]time.Duration),
		notRun:   make(map[job.ID]refusal),
		told:     make(map[job.ID]job.Record),
		unsure:   make(map[job.ID]refusal),
		leaving:  make(map[life]time.Duration),
	}
	r.Watch(l.check)
	return l
}

// Starts returns how often a member of the job was started, over all attempts
// and lives. It is the largest number over the members.
func (l *Ledger) Starts(id job.ID) int {
	most := 0
	for _, n := range l.started[id] {
		most = max(most, n)
	}
	return most
}

func (l *Ledger) check(t Trace) error {
	if _, ok := t.Event.(agent.Leave); ok {
		l.leaving[lifeOf(t.Process)] = l.region.Elapsed()
	}
	if err := l.checkObedience(t); err != nil {
		return err
	}
	for _, effect := range t.Effects {
		if err := l.checkEffect(t, effect); err != nil {
			return err
		}
	}
	if l.PartialBound > 0 && l.region.Elapsed()-l.looked > time.Second {
		l.looked = l.region.Elapsed()
		return l.checkPartial()
	}
	return nil
}

func (l *Ledger) checkEffect(t Trace, effect machine.Effect) error {
	switch e := effect.(type) {
	case agent.RunTask:
		return l.checkRun(t, e)
	case gate.Reply:
		return l.checkReply(e)
	case machine.Send:
		if m, ok := e.Body.(wire.Run); ok {
			l.released(m.Task)
		}
		return nil
	default:
		return nil
	}
}

// checkObedience checks that an agent carries out orders of one leader for each
// epoch, and never of a lower epoch than before.
func (l *Ledger) checkObedience(t Trace) error {
	message, ok := t.Event.(machine.Message)
	if !ok {
		return nil
	}
	order, ok := orderOf(message.Body)
	if !ok || !carriedOut(t.Effects) {
		return nil
	}
	if m, ok := message.Body.(wire.Reserve); ok {
		l.reserve(m)
	}
	if known, ok := l.leaders[order.Epoch]; ok && known != message.From {
		return fmt.Errorf("%s obeyed %s and %s under epoch %d", t.Process.node, known, message.From, order.Epoch)
	}
	l.leaders[order.Epoch] = message.From
	key := lifeOf(t.Process)
	if order.Epoch < l.obeyed[key] {
		return fmt.Errorf("%s obeyed epoch %d after %d", t.Process.node, order.Epoch, l.obeyed[key])
	}
	l.obeyed[key] = order.Epoch
	return nil
}

func (l *Ledger) reserve(m wire.Reserve) {
	g := gangOf(m.Task)
	if l.reserved[g] == nil {
		l.reserved[g] = make(map[job.Rank]bool)
	}
	l.reserved[g][m.Task.Rank] = true
}

// checkRun checks the start of a member.
func (l *Ledger) checkRun(t Trace, e agent.RunTask) error {
	id := e.Task.Job
	if l.started[id] == nil {
		l.started[id] = make(map[job.Rank]int)
	}
	l.started[id][e.Task.Rank]++
	l.launch(t, e)
	if told, ok := l.notRun[id]; ok && !l.resubmitted(told) {
		return fmt.Errorf("job %s runs after request %d was told that it did not run", id, told.call.Request)
	}
	if !e.Spec.Idempotent && l.started[id][e.Task.Rank] > 1 {
		return fmt.Errorf("non-idempotent job %s was started twice", id)
	}
	for rank := range e.Spec.Shape.Workers {
		if !l.reserved[gangOf(e.Task)][job.Rank(rank)] {
			return fmt.Errorf("job %s runs though member %d was not reserved", id, rank)
		}
	}
	if since, ok := l.leaving[lifeOf(t.Process)]; ok && l.region.Elapsed()-since > LeaveBound {
		return fmt.Errorf("%s got new work %v after it began to leave", t.Process.node, l.region.Elapsed()-since)
	}
	if e.Spec.Idempotent && l.volatile[gangOf(e.Task)] {
		return nil
	}
	if !l.durable[gangOf(e.Task)] && !l.isDurable(e.Task) {
		return fmt.Errorf("attempt %d of job %s runs though its start is not durable", e.Task.Attempt, id)
	}
	return nil
}

// released takes note of whether the start of an attempt was durable when its
// members were told to run, and of whether the store had a fault.
func (l *Ledger) released(id wire.TaskID) {
	g := gangOf(id)
	l.durable[g] = l.durable[g] || l.isDurable(id)
	l.volatile[g] = l.volatile[g] || l.region.Store.FaultyWithin(StoreGrace)
}

// isDurable reports whether the table knows of the start of an attempt.
func (l *Ledger) isDurable(id wire.TaskID) bool {
	for _, prefix := range []string{"live/", "done/"} {
		row, ok := l.region.Store.Row(table.Key(prefix + string(RegionID) + "/" + string(id.Job)))
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

func (l *Ledger) launch(t Trace, e agent.RunTask) {
	g := gangOf(e.Task)
	if l.launched[g] == nil {
		l.launched[g] = make(map[job.Rank]*Runner)
	}
	for _, r := range l.region.Runners {
		if r.Process == t.Process {
			l.launched[g][e.Task.Rank] = r
		}
	}
}

// checkPartial checks that no gang has computed in part for longer than the
// bound.
func (l *Ledger) checkPartial() error {
	for g, members := range l.launched {
		computing, gone := 0, 0
		for rank, r := range members {
			switch t, ok := r.tasks[wire.TaskID{Job: g.job, Attempt: g.attempt, Rank: rank, Epoch: g.epoch}]; {
			case !ok:
				gone++
			case !t.done:
				computing++
			}
		}
		if computing == 0 || gone == 0 {
			delete(l.broken, g)
			continue
		}
		since, ok := l.broken[g]
		if !ok {
			l.broken[g] = l.region.Elapsed()
		} else if l.region.Elapsed()-since > l.PartialBound {
			return fmt.Errorf("%d members of job %s compute %v after another ceased", computing, g.job, l.region.Elapsed()-since)
		}
	}
	return nil
}

func lifeOf(p *Process) life {
	return life{node: p.node, life: p.life}
}

func gangOf(id wire.TaskID) gang {
	return gang{job: id.Job, attempt: id.Attempt, epoch: id.Epoch}
}

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

// carriedOut reports whether the effects are those of an order obeyed.
func carriedOut(effects []machine.Effect) bool {
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
