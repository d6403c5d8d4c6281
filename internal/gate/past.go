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
	// pastInterval is the time between two scans for ended jobs.
	pastInterval = time.Hour

	// pastLimit is the number of ended jobs that one scan returns.
	pastLimit = 100

	// maxDeletes is the number of rows that one transaction deletes.
	maxDeletes = 50

	// deleteInterval is the time between two transactions that delete rows.
	deleteInterval = time.Second
)

type (
	// past knows which jobs have ended, as far as the table keeps them: so that a
	// leader without the table can tell a new job from an old one. It deletes the
	// rows of those whose retention is over.
	past struct {
		leader *leader
		known  map[job.ID]ending
		whole  bool
		busy   bool
		next   time.Time
		delete time.Time
	}

	ending struct {
		version table.Version
		ended   time.Time
	}
)

func newPast(l *leader) *past {
	return &past{leader: l, known: make(map[job.ID]ending)}
}

func (p *past) add(record job.Record, version table.Version) {
	p.known[record.ID] = ending{version: version, ended: record.Ended}
}

// tick scans for ended jobs and deletes the oldest, when that is due.
func (p *past) tick(now time.Time) {
	switch {
	case p.busy || !p.leader.writer.retry.Ready(now, operationScan):
	case !now.Before(p.next):
		p.next = now.Add(pastInterval)
		p.scan("")
	case p.whole && !now.Before(p.delete):
		p.delete = now.Add(deleteInterval)
		p.expire(now)
	}
}

func (p *past) scan(after table.Key) {
	g := p.leader.gate
	p.busy = true
	g.store.Scan(doneKey(g.config.Region, ""), after, pastLimit, func(result machine.Stored) {
		p.busy = false
		if g.leader != p.leader {
			return
		}
		if result.Err != nil {
			p.next = p.leader.writer.retry.Failed(g.now, operationScan)
			return
		}
		p.leader.writer.retry.Succeeded(operationScan)
		for _, row := range result.Rows {
			var record job.Record
			if json.Unmarshal(row.Value, &record) == nil {
				p.add(record, row.Version)
			}
		}
		if len(result.Rows) == pastLimit {
			p.scan(result.Rows[pastLimit-1].Key)
			return
		}
		p.whole = true
	})
}

// expire deletes some of the rows whose retention is over.
func (p *past) expire(now time.Time) {
	g := p.leader.gate
	var old []job.ID
	for id, e := range p.known {
		if now.Sub(e.ended) > g.config.Retention {
			old = append(old, id)
		}
	}
	if len(old) == 0 {
		return
	}
	slices.Sort(old)
	old = old[:min(len(old), maxDeletes)]
	txn := table.Txn{Checks: []table.Check{g.elector.Guard()}}
	for _, id := range old {
		key := doneKey(g.config.Region, id)
		txn.Checks = append(txn.Checks, table.Check{Key: key, Version: p.known[id].version})
		txn.Writes = append(txn.Writes, table.Write{Key: key, Delete: true})
	}
	p.busy = true
	g.store.Commit(txn, func(result machine.Stored) {
		p.busy = false
		p.expired(old, result.Err)
	})
}

// expired forgets what was deleted. A row that is not as it was known is looked
// at again by the next scan.
func (p *past) expired(old []job.ID, err error) {
	g := p.leader.gate
	var conflict *table.ConflictError
	switch {
	case err == nil:
		for _, id := range old {
			delete(p.known, id)
		}
	case errors.As(err, &conflict):
		for _, id := range old {
			if doneKey(g.config.Region, id) == conflict.Key {
				delete(p.known, id)
			}
		}
	default:
		p.leader.writer.retry.Failed(g.now, operationScan)
	}
}
