package region

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// JobPrefix begins the keys of the rows of accepted jobs, which gates write.
	JobPrefix table.Key = "job/"

	// CancelPrefix begins the keys of the rows of cancelled jobs, which gates
	// write.
	CancelPrefix table.Key = "cancel/"

	// RecordPrefix begins the keys of the rows of how far jobs are, which the
	// leader writes.
	RecordPrefix table.Key = "record/"

	// AgentPrefix begins the keys of the rows of agents that may run tasks,
	// which the leader writes.
	AgentPrefix table.Key = "agent/"

	// PaceKey is the key of the row of what tasks usually take, which the leader
	// writes.
	PaceKey table.Key = "pace/queues"

	// maxBatch is the largest number of rows in a transaction of the leader:
	// with its checks it stays below the platform's bound of 100 entries.
	maxBatch = 45
)

type (
	// Record is how far a job is.
	Record struct {
		State       State              `cbor:"1,keyasint"`
		Occurrences []OccurrenceRecord `cbor:"2,keyasint,omitempty"`
	}

	// OccurrenceRecord is how far an occurrence of a job is. Whole says that all
	// of it is done.
	OccurrenceRecord struct {
		Whole bool         `cbor:"1,keyasint,omitempty"`
		Steps []StepRecord `cbor:"2,keyasint,omitempty"`
	}

	// StepRecord is how far a step is. Keys 2 and 3 were those of an earlier
	// release; gates of both may run side by side during an update.
	StepRecord struct {
		// Done has a bit for each task.
		Done   []byte             `cbor:"1,keyasint,omitempty"`
		Failed []work.Run         `cbor:"5,keyasint,omitempty"`
		Tasks  map[int]TaskRecord `cbor:"4,keyasint,omitempty"`
	}

	// TaskRecord is what is kept of a task that is not done. Keys 1 and 2 were
	// those of an earlier release.
	TaskRecord struct {
		Failed     []work.Run      `cbor:"4,keyasint,omitempty"`
		Checkpoint work.Checkpoint `cbor:"3,keyasint,omitempty"`
	}

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

// Begin takes in the rows that a former leader and the gates left.
func (c *Core) Begin(now time.Time, jobs, cancels, records, agents, paces []table.Row) {
	for _, row := range paces {
		c.recall(row)
	}
	for _, row := range agents {
		w := c.newWorker(now, control.AgentID(row.Key[len(AgentPrefix):]))
		w.row.version = row.Version
		w.unheard = true
	}
	byJob := make(map[work.JobID]Record, len(records))
	versions := make(map[work.JobID]table.Version, len(records))
	for _, row := range records {
		var r Record
		id := work.JobID(row.Key[len(RecordPrefix):])
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			c.log(Line{Event: "record unreadable", Job: id, Outcome: err.Error()})
			c.barred[id] = true
			continue
		}
		byJob[id] = r
		versions[id] = row.Version
	}
	for _, row := range jobs {
		c.Row(now, row)
	}
	for id, r := range byJob {
		if j := c.jobs[id]; j != nil {
			j.row.version = versions[id]
			c.restore(now, j, r)
		}
	}
	for _, row := range cancels {
		c.Row(now, row)
	}
	c.prune()
}

// Row takes in a row of a job or of its cancellation.
func (c *Core) Row(now time.Time, row table.Row) {
	if id, ok := cut(row.Key, CancelPrefix); ok {
		c.Cancel(now, work.JobID(id))
		return
	}
	id, ok := cut(row.Key, JobPrefix)
	if !ok || row.Value == nil || c.barred[work.JobID(id)] {
		return
	}
	var s Submission
	if err := cbor.Unmarshal(row.Value, &s); err != nil {
		c.log(Line{Event: "job unreadable", Job: work.JobID(id), Outcome: err.Error()})
		return
	}
	c.Admit(now, s, row.Version)
}

func cut(key, prefix table.Key) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return string(key[len(prefix):]), true
}

// restore puts a job to where its record says that it is.
func (c *Core) restore(now time.Time, j *job, r Record) {
	for n, record := range r.Occurrences {
		if n >= j.Job.Occurrences() {
			break
		}
		if n >= len(j.occurrences) {
			j.occurrences = append(j.occurrences, newOccurrence(j, n, c.due(j, n)))
		}
		for i, s := range j.occurrences[n].steps {
			if record.Whole {
				s.fill()
			} else if i < len(record.Steps) {
				s.restore(record.Steps[i])
			}
			j.began = j.began || s.done > 0
		}
	}
	j.shown = r.State
	if r.State == Completed || r.State == Failed || r.State == Cancelled {
		j.state = r.State
		j.ended = now
		return
	}
	c.advance(now, j)
}

func (s *step) fill() {
	for i := range s.tasks {
		s.tasks[i].done = true
	}
	s.done = len(s.tasks)
}

func (s *step) restore(r StepRecord) {
	s.failed = r.Failed
	for i := range s.tasks {
		t := &s.tasks[i]
		if i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0 {
			t.done = true
			s.done++
		}
		kept := r.Tasks[i]
		t.failed, t.checkpoint = kept.Failed, kept.Checkpoint
	}
}

// record returns what is kept of a job.
func (j *job) record() Record {
	r := Record{State: j.state}
	if j.over() {
		return r
	}
	for _, o := range j.occurrences {
		kept := OccurrenceRecord{Whole: o.done}
		if !o.done {
			for _, s := range o.steps {
				kept.Steps = append(kept.Steps, s.record())
			}
		}
		r.Occurrences = append(r.Occurrences, kept)
	}
	return r
}

func (s *step) record() StepRecord {
	r := StepRecord{Failed: s.failed}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			for len(r.Done) <= i/8 {
				r.Done = append(r.Done, 0)
			}
			r.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if len(t.failed) > 0 || t.checkpoint != "" {
			if r.Tasks == nil {
				r.Tasks = make(map[int]TaskRecord)
			}
			r.Tasks[i] = TaskRecord{Failed: t.failed, Checkpoint: t.checkpoint}
		}
	}
	return r
}

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
