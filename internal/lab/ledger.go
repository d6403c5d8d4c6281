package lab

import (
	"encoding/json"
	"errors"
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
		launched map[gang]map[job.Rank]*Runner
		broken   map[gang]time.Duration
		notRun   map[job.ID]gate.RequestID
		told     map[job.ID]job.Record
		leaving  map[life]time.Duration
		looked   time.Duration
	}

	life struct {
		node machine.Node
		life uint64
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
		launched: make(map[gang]map[job.Rank]*Runner),
		broken:   make(map[gang]time.Duration),
		notRun:   make(map[job.ID]gate.RequestID),
		told:     make(map[job.ID]job.Record),
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
	if request, ok := l.notRun[id]; ok {
		return fmt.Errorf("job %s runs after request %d was told that it did not run", id, request)
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
	if e.Spec.Idempotent && l.region.Store.FaultyWithin(StoreGrace) {
		return nil
	}
	return l.checkDurable(e.Task)
}

// checkDurable checks that the table knows of the start of an attempt.
func (l *Ledger) checkDurable(id wire.TaskID) error {
	for _, prefix := range []string{"live/", "done/"} {
		row, ok := l.region.Store.Row(table.Key(prefix + string(RegionID) + "/" + string(id.Job)))
		var record job.Record
		if !ok || json.Unmarshal(row.Value, &record) != nil {
			continue
		}
		if record.Attempt == id.Attempt && (record.State == job.StateStarted || record.State.Final()) {
			return nil
		}
	}
	return fmt.Errorf("attempt %d of job %s runs though its start is not durable", id.Attempt, id.Job)
}

// checkReply checks that a caller gets its own whole answer, that what it is
// told agrees with what was told before, and that "not run" is true.
func (l *Ledger) checkReply(e gate.Reply) error {
	call := l.region.Callers.byID[e.Request]
	var unavailable *gate.UnavailableError
	if errors.As(e.Err, &unavailable) {
		return l.checkNotRun(call, unavailable.Ran)
	}
	if e.Err != nil {
		return nil
	}
	if e.Record.ID != call.Job || e.Record.Spec.Account != Tenant {
		return fmt.Errorf("request %d for job %s was answered with job %s", e.Request, call.Job, e.Record.ID)
	}
	if !e.Record.State.Final() {
		return nil
	}
	if e.Record.State == job.StateDone && !e.Record.Answer.Whole(Output(call.Job, 0)) {
		return fmt.Errorf("request %d got a wrong answer", e.Request)
	}
	if before, ok := l.told[call.Job]; ok && before.State != e.Record.State {
		return fmt.Errorf("job %s was told as %s and as %s", call.Job, before.State, e.Record.State)
	}
	l.told[call.Job] = e.Record
	return l.checkNotRun(call, e.Record.Ran)
}

func (l *Ledger) checkNotRun(call *Call, ran job.Ran) error {
	if ran != job.NotRun {
		return nil
	}
	l.notRun[call.Job] = call.Request
	if n := l.Starts(call.Job); n > 0 {
		return fmt.Errorf("request %d was told that job %s did not run, but it did %d times", call.Request, call.Job, n)
	}
	return nil
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
