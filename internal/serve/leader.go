package serve

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// leaderTick is the time between two looks at what has become due.
	leaderTick = 50 * time.Millisecond

	// batchPause gathers changes of records into one transaction.
	batchPause = 10 * time.Millisecond
)

// leader runs the core of the region while its gate leads.
type leader struct {
	gate  *Gate
	epoch lease.Epoch
	guard table.Check
	ctx   context.Context
	end   context.CancelFunc

	// loaded is closed when the core is there.
	loaded chan struct{}

	mu    sync.Mutex
	core  *region.Core
	polls map[control.AgentID]poll
	dirty chan struct{}
}

// poll is a report whose answer waits for orders.
type poll struct {
	seq  uint64
	wake chan struct{}
}

func newLeader(g *Gate, epoch lease.Epoch, guard table.Check) *leader {
	ctx, end := context.WithCancel(g.ctx)
	return &leader{
		gate: g, epoch: epoch, guard: guard, ctx: ctx, end: end,
		polls: make(map[control.AgentID]poll), dirty: make(chan struct{}, 1), loaded: make(chan struct{}),
	}
}

// run loads the region and leads it until the epoch ends.
func (l *leader) run() {
	after, ok := l.load()
	if !ok {
		return
	}
	go l.follow(after)
	go l.save()
	for l.pause(leaderTick) {
		l.act(func(now time.Time, core *region.Core) { core.Tick(now) })
	}
}

func (l *leader) pause(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// act runs a change of the core, then wakes the agents for which there are
// orders, and the writer.
func (l *leader) act(change func(now time.Time, core *region.Core)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil {
		return
	}
	l.core.SetDay(l.gate.day())
	change(boottime.Now(), l.core)
	for id, p := range l.polls {
		if l.core.Woken(id) {
			delete(l.polls, id)
			close(p.wake)
		}
	}
	select {
	case l.dirty <- struct{}{}:
	default:
	}
}

// load reads what the former leader and the gates left.
func (l *leader) load() (table.Version, bool) {
	for l.ctx.Err() == nil {
		begun := boottime.Now()
		sets, err := l.scanAll(region.JobPrefix, region.CancelPrefix, region.RecordPrefix, region.AgentPrefix, region.PaceKey)
		settings, _ := l.gate.holder.Current()
		if err != nil || settings == nil {
			klog.InfoS("region not loaded", "epoch", l.epoch, "reason", err)
			l.pause(retryPause)
			continue
		}
		core := region.New(begun, l.epoch, l.guard, l.guard.Version, settings,
			region.WithHold(l.gate.config.Hold), region.WithGang(l.gate.config.Gang), region.WithRetention(l.gate.config.Retention))
		core.WithLog(l.logLine)
		core.SetDay(l.gate.day())
		core.Begin(boottime.Now(), sets[0], sets[1], sets[2], sets[3], sets[4])
		l.mu.Lock()
		l.core = core
		l.mu.Unlock()
		close(l.loaded)
		klog.InfoS("leading", "epoch", l.epoch, "jobs", len(sets[0]), "agents", len(sets[3]), "took", boottime.Now().Sub(begun))
		return l.guard.Version, true
	}
	return 0, false
}

func (l *leader) logLine(line region.Line) {
	l.gate.metrics.observe(line)
	klog.InfoS(line.Event, line.Pairs()...)
}

// scanAll reads all rows with each of the prefixes, side by side. The guard keeps
// the former leader from writing meanwhile, and what gates write comes again with
// the changes.
func (l *leader) scanAll(prefixes ...table.Key) ([][]table.Row, error) {
	sets := make([][]table.Row, len(prefixes))
	failures := make([]error, len(prefixes))
	var scans sync.WaitGroup
	for i, prefix := range prefixes {
		scans.Go(func() { sets[i], failures[i] = l.scan(prefix) })
	}
	scans.Wait()
	return sets, errors.Join(failures...)
}

// scan reads all rows with a prefix.
func (l *leader) scan(prefix table.Key) ([]table.Row, error) {
	var rows []table.Row
	var after table.Key
	for {
		page, err := l.gate.table.Scan(l.ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < scanPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// follow takes in new jobs and cancellations.
func (l *leader) follow(after table.Version) {
	go l.followTable(region.CancelPrefix, after)
	l.followTable(region.JobPrefix, after)
}

func (l *leader) followTable(prefix table.Key, after table.Version) {
	for l.ctx.Err() == nil {
		changes, version, err := l.gate.table.Changes(l.ctx, prefix, after, feedWait)
		var history *table.HistoryError
		switch {
		case errors.As(err, &history):
			klog.InfoS("history of the table is gone", "after", after, "prefix", prefix)
			after = l.reread(prefix, after)
			continue
		case err != nil:
			l.pause(retryPause)
			continue
		}
		if len(changes) > 0 {
			l.act(func(now time.Time, core *region.Core) {
				for _, change := range changes {
					if !change.Deleted {
						core.Row(now, change.Row)
					}
				}
				core.Tick(now)
			})
		}
		after = max(after, version)
	}
}

// reread reads all rows with a prefix after changes to them were dropped, and
// returns the version after which changes are to be followed.
func (l *leader) reread(prefix table.Key, after table.Version) table.Version {
	newest, err := l.gate.table.Newest(l.ctx)
	var rows []table.Row
	if err == nil {
		rows, err = l.scan(prefix)
	}
	if err != nil {
		l.pause(retryPause)
		return after
	}
	l.act(func(now time.Time, core *region.Core) {
		for _, row := range rows {
			core.Row(now, row)
		}
	})
	return newest
}

// save writes records while there are any to write.
func (l *leader) save() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.dirty:
		}
		for l.saveOnce() {
		}
		if !l.pause(batchPause) {
			return
		}
	}
}

// saveOnce writes one batch and returns whether there may be another one.
func (l *leader) saveOnce() bool {
	if !l.resync() {
		return l.pause(retryPause)
	}
	l.mu.Lock()
	batch := l.core.Batch()
	l.mu.Unlock()
	if batch == nil {
		return false
	}
	version, err := l.gate.table.Commit(l.ctx, batch.Txn)
	if l.ctx.Err() != nil {
		return false
	}
	deposed := false
	l.act(func(_ time.Time, core *region.Core) { deposed = !core.Saved(batch, version, err) })
	if deposed {
		klog.InfoS("another leader has begun", "epoch", l.epoch)
		l.gate.depose()
		return false
	}
	if err != nil {
		return l.pause(retryPause)
	}
	return true
}

// resync reads the versions of records that are not known. It returns false if
// they could not be read.
func (l *leader) resync() bool {
	l.mu.Lock()
	keys := l.core.Unsure()
	l.mu.Unlock()
	if len(keys) == 0 {
		return true
	}
	rows, err := l.gate.table.Read(l.ctx, keys)
	if err != nil {
		return false
	}
	l.act(func(_ time.Time, core *region.Core) { core.Resync(keys, rows) })
	return true
}

// configure hands a newer configuration to the core.
func (l *leader) configure(settings *configuration.Configuration) {
	l.act(func(_ time.Time, core *region.Core) { core.Configure(settings) })
}

// report takes in a report and answers it when there are orders, or after the
// time that it may wait. It returns false if this gate does not lead.
func (l *leader) report(ctx context.Context, report control.Report) (control.Word, bool) {
	if !l.ready(ctx, report.Wait) {
		return control.Word{}, false
	}
	var p poll
	urgent := true
	l.act(func(now time.Time, core *region.Core) {
		if !core.Report(now, report) {
			return
		}
		core.Plan(now)
		if old, ok := l.polls[report.Agent]; ok {
			close(old.wake)
		}
		delete(l.polls, report.Agent)
		urgent = core.Woken(report.Agent)
		if !urgent {
			p = poll{seq: report.Seq, wake: make(chan struct{})}
			l.polls[report.Agent] = p
		}
	})
	if !urgent {
		l.await(ctx, report, p)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil || l.ctx.Err() != nil || !l.gate.valid() {
		return control.Word{}, false
	}
	word := l.core.Word(boottime.Now(), report.Agent)
	word.Leader = l.gate.config.Node
	word.Gates = l.gate.redirect().Gates
	return word, true
}

// ready waits until the core is there. It returns false if that takes too long.
func (l *leader) ready(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.loaded:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return false
}

// await waits for orders, for a newer report of the agent, or for the time to
// pass.
func (l *leader) await(ctx context.Context, report control.Report, p poll) {
	timer := time.NewTimer(report.Wait)
	defer timer.Stop()
	select {
	case <-p.wake:
	case <-timer.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.polls[report.Agent].seq == p.seq {
		delete(l.polls, report.Agent)
	}
}

// answer answers a question about a job or a queue.
func (l *leader) answer(question control.Question) control.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil || !l.gate.valid() {
		return control.Reply{}
	}
	if question.Job == "" {
		return control.Reply{Leads: true, Waiting: l.core.Waiting(question.Queue)}
	}
	state, known := l.core.State(question.Job)
	return control.Reply{Leads: true, Known: known, State: string(state)}
}
