package serve

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// leaderTickInterval is the time between two ticks of the core, at which it
	// does what has become due.
	leaderTickInterval = 50 * time.Millisecond

	// batchDelay is the pause once all changed records are written, in which
	// further changes gather for the next transaction.
	batchDelay = 10 * time.Millisecond

	// planInterval is the least time between two plans of the waiting tasks, below
	// leaderTickInterval so that each tick may plan. Under load many reports
	// change something, and one plan serves them all.
	planInterval = 40 * time.Millisecond
)

// leader runs a region.Core while its gate leads, for one epoch. It passes
// reports, new jobs and cancellations to the core, and writes the records that
// the core changes to the table.
type leader struct {
	gate  *Gate
	epoch lease.Epoch

	// epochCheck makes a transaction fail once another epoch has begun.
	epochCheck table.Check
	ctx        context.Context
	cancel     context.CancelFunc

	// loaded is closed when the core has been built from the table's rows.
	loaded chan struct{}

	mu    sync.Mutex
	core  *region.Core
	polls map[control.AgentID]poll

	// dirty holds a value when there may be records to write.
	dirty chan struct{}
}

func newLeader(g *Gate, epoch lease.Epoch, epochCheck table.Check) *leader {
	ctx, cancel := context.WithCancel(g.ctx)
	return &leader{
		gate: g, epoch: epoch, epochCheck: epochCheck, ctx: ctx, cancel: cancel,
		polls: make(map[control.AgentID]poll), dirty: make(chan struct{}, 1), loaded: make(chan struct{}),
	}
}

// run loads the region's state and leads until the epoch ends.
func (l *leader) run() {
	after, ok := l.load()
	if !ok {
		return
	}
	go l.followChanges(after)
	go l.writeRecords()
	usedUp := false
	for !usedUp && l.pause(leaderTickInterval) {
		l.update(func(now time.Time, core *region.Core) {
			core.Tick(now)
			usedUp = core.RunsUsedUp()
			l.gate.metrics.setEvacuations(core.Evacuations())
		})
	}
	if usedUp {
		l.gate.stepDown()
	}
	l.gate.metrics.setEvacuations(nil)
}

// pause waits for the given time. It returns false if the epoch ends first.
func (l *leader) pause(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// update gives the core the gate's clock, configuration and evacuations and applies a change
// to it, then wakes the polls of agents that have new orders, and the goroutine that writes
// records. It does nothing before the core is loaded. The configuration is read at each
// update, so that no version is missed that arrives while there is no core.
func (l *leader) update(change func(now time.Time, core *region.Core)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil {
		return
	}
	l.core.SetWallClockOffset(l.gate.wallClockOffset())
	if current, _ := l.gate.holder.Current(); current != nil {
		l.core.Configure(current)
	}
	if e := l.gate.evacuations; e.enabled() {
		l.core.SetEvacuations(boottime.Now(), e.holder.Snapshot())
	}
	change(boottime.Now(), l.core)
	for id, p := range l.polls {
		if l.core.OrdersPending(id) {
			delete(l.polls, id)
			close(p.wake)
		}
	}
	select {
	case l.dirty <- struct{}{}:
	default:
	}
}

// load builds the core from the jobs, cancellations, records, agents and
// run-time statistics in the table. It retries until that succeeds, and returns
// the table version after which changes are to be followed, or false if the
// epoch ends first.
func (l *leader) load() (table.Version, bool) {
	for l.ctx.Err() == nil {
		startedAt := boottime.Now()
		rowSets, err := l.scanPrefixes(region.JobPrefix, region.CancelPrefix, region.RecordPrefix, region.AgentPrefix, region.PacePrefix)
		current, _ := l.gate.holder.Current()
		if err != nil || current == nil {
			klog.InfoS("region not loaded", "epoch", l.epoch, "reason", err)
			l.pause(retryDelay)
			continue
		}
		core := region.New(startedAt, l.epoch, l.epochCheck, l.epochCheck.Version, current,
			region.WithHoldTime(l.gate.config.HoldTime), region.WithMaxLease(l.gate.config.MaxLease), region.WithGangWait(l.gate.config.GangWait), region.WithRetention(l.gate.config.Retention), region.WithPlanInterval(planInterval), region.WithHarmBound(l.gate.config.HarmBound), region.WithEvacuations(l.gate.config.Evacuations.Bound, confirmInterval),
			region.WithRowBytes(cmp.Or(l.gate.config.RowBytes, region.DefaultRowBytes)))
		core.SetLog(l.logEntry)
		core.SetWallClockOffset(l.gate.wallClockOffset())
		core.Restore(boottime.Now(), rowSets[0], rowSets[1], rowSets[2], rowSets[3], rowSets[4])
		l.mu.Lock()
		l.core = core
		l.mu.Unlock()
		close(l.loaded)
		klog.InfoS("leading", "epoch", l.epoch, "version", l.epochCheck.Version, "jobs", len(rowSets[0]), "agents", len(rowSets[3]), "took", boottime.Now().Sub(startedAt))
		return l.epochCheck.Version, true
	}
	return 0, false
}

// logEntry counts and logs a decision of the core.
func (l *leader) logEntry(e region.LogEntry) {
	l.gate.metrics.observe(e)
	klog.InfoS(e.Event, e.KeyValues()...)
}

// scanPrefixes reads all rows with each of the prefixes concurrently. No former
// leader can write meanwhile, since epochCheck makes its transactions fail; rows
// that gates write meanwhile are delivered again by the change feed.
func (l *leader) scanPrefixes(prefixes ...table.Key) ([][]table.Row, error) {
	sets := make([][]table.Row, len(prefixes))
	errs := make([]error, len(prefixes))
	var scans sync.WaitGroup
	for i, prefix := range prefixes {
		scans.Go(func() { sets[i], errs[i] = scanAll(l.ctx, l.gate.table, prefix) })
	}
	scans.Wait()
	return sets, errors.Join(errs...)
}

// followChanges applies new jobs and cancellations from the table's change
// feed.
func (l *leader) followChanges(after table.Version) {
	go l.followPrefix(region.CancelPrefix, after)
	l.followPrefix(region.JobPrefix, after)
}

// followPrefix applies the changes of rows with a prefix until the epoch ends.
// Deletions are skipped.
func (l *leader) followPrefix(prefix table.Key, after table.Version) {
	for l.ctx.Err() == nil {
		changes, version, err := l.gate.table.Changes(l.ctx, prefix, after, feedWait)
		var historyErr *table.HistoryError
		switch {
		case errors.As(err, &historyErr):
			klog.InfoS("table changes dropped before they were read; reading all rows again", "after", after, "prefix", prefix)
			after = l.rescan(prefix, after)
			continue
		case err != nil:
			l.pause(retryDelay)
			continue
		}
		if len(changes) > 0 {
			l.update(func(now time.Time, core *region.Core) {
				for _, change := range changes {
					if !change.Deleted {
						core.ApplyRow(now, change.Row)
					}
				}
				core.Tick(now)
			})
		}
		after = max(after, version)
	}
}

// rescan reads all rows with a prefix, after the table has dropped changes to
// them that were not read yet. It returns the version after which changes are
// to be followed: the given one, after a pause, if the rows could not be read.
func (l *leader) rescan(prefix table.Key, after table.Version) table.Version {
	newest, err := l.gate.table.Newest(l.ctx)
	var rows []table.Row
	if err == nil {
		rows, err = scanAll(l.ctx, l.gate.table, prefix)
	}
	if err != nil {
		l.pause(retryDelay)
		return after
	}
	l.update(func(now time.Time, core *region.Core) {
		for _, row := range rows {
			core.ApplyRow(now, row)
		}
	})
	return newest
}

// writeRecords writes changed records to the table until the epoch ends.
func (l *leader) writeRecords() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.dirty:
		}
		for l.writeBatch() {
		}
		if !l.pause(batchDelay) {
			return
		}
	}
}

// writeBatch writes one batch of records and returns whether there may be more
// to write.
func (l *leader) writeBatch() bool {
	if !l.readUnknownVersions() {
		return l.pause(retryDelay)
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
	l.update(func(_ time.Time, core *region.Core) { deposed = !core.BatchDone(batch, version, err) })
	if deposed {
		klog.InfoS("newer leader found; stepping down", "epoch", l.epoch)
		l.gate.stepDown()
		return false
	}
	if err != nil {
		return l.pause(retryDelay)
	}
	return true
}

// readUnknownVersions reads the rows whose versions are unknown because a
// transaction conflicted. It returns false if they could not be read.
func (l *leader) readUnknownVersions() bool {
	l.mu.Lock()
	keys := l.core.UnknownVersions()
	l.mu.Unlock()
	if len(keys) == 0 {
		return true
	}
	rows, err := l.gate.table.Read(l.ctx, keys)
	if err != nil {
		return false
	}
	l.update(func(_ time.Time, core *region.Core) { core.SetVersions(keys, rows) })
	return true
}

// answer answers a query about a job or a queue, or for the forecast. It returns the zero QueryReply if
// this gate does not lead or has not loaded the region's state.
func (l *leader) answer(query control.Query) control.QueryReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil || !l.gate.leaseValid() {
		return control.QueryReply{}
	}
	if query.Forecast {
		made := l.core.Forecast(boottime.Now())
		return control.QueryReply{Leads: true, Forecast: &made}
	}
	if query.Job == "" {
		return control.QueryReply{Leads: true, Waiting: l.core.WaitingJobs(query.Queue)}
	}
	state, known := l.core.State(query.Job)
	return control.QueryReply{Leads: true, Known: known, State: string(state)}
}
