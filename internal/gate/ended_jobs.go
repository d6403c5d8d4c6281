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
	// leader can tell a new job from an ended one while the table is
	// unavailable. It also deletes the rows of jobs whose retention has
	// expired. complete is set once a scan has read all rows, and busy while a
	// table operation is in flight.
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
		endedAt time.Time
	}
)

func newEndedJobIndex(l *leader) *endedJobIndex {
	return &endedJobIndex{leader: l, byID: make(map[job.ID]endedJob)}
}

func (x *endedJobIndex) add(record job.Record, version table.Version) {
	x.byID[record.ID] = endedJob{version: version, endedAt: record.Ended}
}

// tick scans for ended jobs, or deletes expired rows, when that is due.
func (x *endedJobIndex) tick(now time.Time) {
	switch {
	case x.busy || !x.leader.writer.retry.Ready(now, operationScan):
	case !now.Before(x.nextScan):
		x.nextScan = now.Add(endedScanInterval)
		x.scan("")
	case x.complete && !now.Before(x.delete):
		x.delete = now.Add(deleteInterval)
		x.deleteExpired(now)
	}
}

// scan reads the rows of ended jobs from the key after on.
func (x *endedJobIndex) scan(after table.Key) {
	g := x.leader.gate
	x.busy = true
	g.store.Scan(endedKey(g.config.Region, ""), after, endedScanLimit, func(result machine.StoreResult) {
		x.busy = false
		if g.leader != x.leader {
			return
		}
		if result.Err != nil {
			x.nextScan = x.leader.writer.retry.Failed(g.now, operationScan)
			return
		}
		x.leader.writer.retry.Succeeded(operationScan)
		for _, row := range result.Rows {
			var record job.Record
			if json.Unmarshal(row.Value, &record) == nil {
				x.add(record, row.Version)
			}
		}
		if len(result.Rows) == endedScanLimit {
			x.scan(result.Rows[endedScanLimit-1].Key)
			return
		}
		x.complete = true
	})
}

// deleteExpired deletes up to maxDeletes rows whose retention has expired.
func (x *endedJobIndex) deleteExpired(now time.Time) {
	g := x.leader.gate
	var expired []job.ID
	for id, e := range x.byID {
		if now.Sub(e.endedAt) > g.config.Retention {
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
		key := endedKey(g.config.Region, id)
		txn.Checks = append(txn.Checks, table.Check{Key: key, Version: x.byID[id].version})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
	}
	x.busy = true
	g.store.Commit(txn, func(result machine.StoreResult) {
		x.busy = false
		x.handleDeleted(expired, result.Err)
	})
}

// handleDeleted removes the deleted jobs. If a row has changed in the meantime,
// only its job is removed, and the next scan reads the row again.
func (x *endedJobIndex) handleDeleted(expired []job.ID, err error) {
	g := x.leader.gate
	var conflict *table.ConflictError
	switch {
	case err == nil:
		for _, id := range expired {
			delete(x.byID, id)
		}
	case errors.As(err, &conflict):
		for _, id := range expired {
			if endedKey(g.config.Region, id) == conflict.Key {
				delete(x.byID, id)
			}
		}
	default:
		x.leader.writer.retry.Failed(g.now, operationScan)
	}
}
