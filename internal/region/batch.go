package region

import (
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/pkg/table"
)

// maxBatch is the largest number of rows in a transaction of the leader:
// with its checks it stays below the platform's bound of 100 entries.
const maxBatch = 45

type (
	// Batch is a transaction of the leader, and what becomes durable with it. A
	// record is written only over the version that the leader knows, so that a
	// write without an answer that lands late can't undo a later one.
	Batch struct {
		Txn    table.Txn
		jobs   []*job
		marks  []uint64
		states []State
		agents []*worker

		// learned is how much of the paces the batch saves, 0 if none.
		learned uint64
		pace    *ownRow

		// expired are ended jobs whose rows the batch removes.
		expired []*job
	}

	// ownRow is what the leader knows of a row that it writes.
	ownRow struct {
		key     table.Key
		version table.Version

		// unsure says that an earlier write landed after all, so that the
		// version is not known.
		unsure bool
	}
)

// Batch returns the next transaction to commit, or nil if there is nothing to
// write or one is under way. The caller passes its result to Saved.
func (c *Core) Batch() *Batch {
	if c.saving {
		return nil
	}
	b := &Batch{Txn: table.Txn{Checks: []table.Check{c.guard}}}
	for _, w := range c.sorted() {
		if w.recorded() == w.runs() && !w.changing || w.row.unsure || len(b.Txn.Writes) >= maxBatch {
			continue
		}
		b.agents = append(b.agents, w)
		b.Txn.Checks = append(b.Txn.Checks, w.row.check())
		b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: w.row.key, Value: []byte{}, Delete: !w.runs()})
		w.changing, w.recording = true, w.runs()
	}
	for _, j := range c.live {
		if j.saved >= j.changed || j.row.unsure || len(b.Txn.Writes) >= maxBatch {
			continue
		}
		value, err := cbor.Marshal(j.record())
		if err != nil {
			c.log(Line{Event: "record not encoded", Job: j.Job.ID, Outcome: err.Error()})
			continue
		}
		b.jobs = append(b.jobs, j)
		b.marks = append(b.marks, j.changed)
		b.states = append(b.states, j.state)
		b.Txn.Checks = append(b.Txn.Checks, j.row.check())
		b.Txn.Writes = append(b.Txn.Writes, table.Write{Key: j.row.key, Value: value})
	}
	c.expire(b)
	if len(b.Txn.Writes) == 0 {
		return nil
	}
	c.savePaces(b)
	c.saving = true
	return b
}

// Saved takes the result of a batch. It returns false if another leader has
// begun.
func (c *Core) Saved(b *Batch, version table.Version, err error) bool {
	c.saving = false
	var conflict *table.ConflictError
	if errors.As(err, &conflict) && conflict.Key == c.guard.Key {
		return false
	}
	if err != nil {
		for _, row := range b.rows() {
			row.unsure = conflict != nil
		}
		if conflict != nil {
			c.forget(b, false)
		}
		if !c.behind {
			c.behind = true
			c.log(Line{Event: "records not written", Outcome: err.Error(), Count: len(b.Txn.Writes)})
		}
		return true
	}
	if c.behind {
		c.behind = false
		c.log(Line{Event: "records written again", Count: len(b.Txn.Writes)})
	}
	for _, row := range b.rows() {
		row.version = version
	}
	for _, w := range b.agents {
		if !w.recording {
			w.row.version = table.Absent
		}
	}
	c.forget(b, true)
	for _, w := range b.agents {
		w.changing = false
		c.plan = true
	}
	c.remembered = max(c.remembered, b.learned)
	for i, j := range b.jobs {
		j.saved = b.marks[i]
		j.shown = b.states[i]
	}
	c.note()
	c.prune()
	return true
}

// rows returns what is known of the rows that the batch writes, in their order.
func (b *Batch) rows() []*ownRow {
	rows := make([]*ownRow, 0, len(b.Txn.Writes))
	for _, w := range b.agents {
		rows = append(rows, &w.row)
	}
	for _, j := range b.jobs {
		rows = append(rows, &j.row)
	}
	if b.learned > 0 {
		rows = append(rows, b.pace)
	}
	return rows
}

func (r *ownRow) check() table.Check {
	return table.Check{Key: r.key, Version: r.version}
}

// Unsure returns the keys of the rows whose versions are not known since an
// earlier write landed after all. The caller reads them and calls Resync.
func (c *Core) Unsure() []table.Key {
	var keys []table.Key
	for _, row := range c.ownRows() {
		if row.unsure {
			keys = append(keys, row.key)
		}
	}
	return keys
}

// Resync takes the versions of the rows with the given keys.
func (c *Core) Resync(keys []table.Key, rows []table.Row) {
	versions := make(map[table.Key]table.Version, len(rows))
	for _, row := range rows {
		versions[row.Key] = row.Version
	}
	for _, row := range c.ownRows() {
		if slices.Contains(keys, row.key) {
			row.version, row.unsure = versions[row.key], false
		}
	}
}

// ownRows returns what is known of the rows that may have to be written.
func (c *Core) ownRows() []*ownRow {
	var rows []*ownRow
	for _, w := range c.sorted() {
		rows = append(rows, &w.row)
	}
	for _, j := range c.live {
		rows = append(rows, &j.row)
	}
	return append(rows, &c.paceRow)
}
