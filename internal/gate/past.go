package gate

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// endedScanInterval is the interval between two scans for ended jobs.
	endedScanInterval = time.Hour

	// endedScanLimit is the number of ended jobs that one scan of the table
	// returns.
	endedScanLimit = 100

	// maxDeletes is the number of rows that one transaction deletes.
	maxDeletes = 50

	// deleteInterval is the interval between two transactions that delete rows.
	deleteInterval = time.Second
)

type (
	// endedJobIndex indexes the ended jobs that the table keeps, so that a
	// leader can tell a new job from an ended one while the store is
	// unavailable. It also deletes the rows of jobs whose retention has
	// expired. complete is set once a scan has read all rows.
	endedJobIndex struct {
		leader   *leader
		byID     map[job.ID]endedJob
		complete bool
		busy     bool
		nextScan time.Time
		delete   time.Time
	}

	// endedJob is the row version of an ended job, and when it ended.
	endedJob struct {
		version table.Version
		ended   time.Time
	}
)

func newEndedJobIndex(l *leader) *endedJobIndex {
	return &endedJobIndex{leader: l, byID: make(map[job.ID]endedJob)}
}

func (p *endedJobIndex) add(record job.Record, version table.Version) {
	p.byID[record.ID] = endedJob{version: version, ended: record.Ended}
}

// tick scans for ended jobs, or deletes expired rows, when that is due.
func (p *endedJobIndex) tick(now time.Time) {
	switch {
	case p.busy || !p.leader.writer.retry.Ready(now, operationScan):
	case !now.Before(p.nextScan):
		p.nextScan = now.Add(endedScanInterval)
		p.scan("")
	case p.complete && !now.Before(p.delete):
		p.delete = now.Add(deleteInterval)
		p.deleteExpired(now)
	}
}

// scan reads the rows of ended jobs from the key after on.
func (p *endedJobIndex) scan(after table.Key) {
	g := p.leader.gate
	p.busy = true
	g.store.Scan(doneKey(g.config.Region, ""), after, endedScanLimit, func(result machine.Stored) {
		p.busy = false
		if g.leader != p.leader {
			return
		}
		if result.Err != nil {
			p.nextScan = p.leader.writer.retry.Failed(g.now, operationScan)
			return
		}
		p.leader.writer.retry.Succeeded(operationScan)
		for _, row := range result.Rows {
			var record job.Record
			if json.Unmarshal(row.Value, &record) == nil {
				p.add(record, row.Version)
			}
		}
		if len(result.Rows) == endedScanLimit {
			p.scan(result.Rows[endedScanLimit-1].Key)
			return
		}
		p.complete = true
	})
}

// deleteExpired deletes up to maxDeletes rows whose retention has expired.
func (p *endedJobIndex) deleteExpired(now time.Time) {
	g := p.leader.gate
	var expired []job.ID
	for id, e := range p.byID {
		if now.Sub(e.ended) > g.config.Retention {
			expired = append(expired, id)
		}
	}
	if len(expired) == 0 {
		return
	}
	slices.Sort(expired)
	expired = expired[:min(len(expired), maxDeletes)]
	txn := table.Txn{Checks: []table.Check{g.elector.Guard()}}
	for _, id := range expired {
		key := doneKey(g.config.Region, id)
		txn.Checks = append(txn.Checks, table.Check{Key: key, Version: p.byID[id].version})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
	}
	p.busy = true
	g.store.Commit(txn, func(result machine.Stored) {
		p.busy = false
		p.handleDeleted(expired, result.Err)
	})
}

// handleDeleted removes the deleted jobs. If a row has changed in the meantime,
// only its job is removed, and the next scan reads the row again.
func (p *endedJobIndex) handleDeleted(expired []job.ID, err error) {
	g := p.leader.gate
	var conflict *table.ConflictError
	switch {
	case err == nil:
		for _, id := range expired {
			delete(p.byID, id)
		}
	case errors.As(err, &conflict):
		for _, id := range expired {
			if doneKey(g.config.Region, id) == conflict.Key {
				delete(p.byID, id)
			}
		}
	default:
		p.leader.writer.retry.Failed(g.now, operationScan)
	}
}
