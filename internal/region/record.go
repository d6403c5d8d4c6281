package region

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// JobPrefix is the key prefix of the rows of accepted jobs. Gates write them.
	JobPrefix table.Key = "job/"

	// CancelPrefix is the key prefix of the rows of cancellations. Gates write
	// them.
	CancelPrefix table.Key = "cancel/"

	// RecordPrefix is the key prefix of the rows of job progress. The leader writes
	// them.
	RecordPrefix table.Key = "record/"

	// AgentPrefix is the key prefix of the rows of agents that may run tasks. The
	// leader writes them.
	AgentPrefix table.Key = "agent/"

	// RunTimesKey is the key of the row of run-time statistics. The leader writes it.
	RunTimesKey = PacePrefix + "queues"

	// SpeedsKey is the key of the row of the speeds of workers. The leader writes it.
	SpeedsKey = PacePrefix + "workers"

	// PacePrefix is the key prefix of the rows of what the leader has learned.
	PacePrefix table.Key = "pace/"
)

type (
	// Record is the stored progress of a job. Progress is empty once the job has ended.
	Record struct {
		State    State    `cbor:"1,keyasint"`
		Progress Progress `cbor:"2,keyasint"`
	}

	// Progress is the stored progress of the occurrences of a job. Opened is how many have
	// been opened. Those below it that are not in Open are done. If Parts is not 0, the
	// progress is stored in this many further rows.
	Progress struct {
		Opened int                      `cbor:"1,keyasint"`
		Open   map[int]OccurrenceRecord `cbor:"2,keyasint,omitempty"`
		Parts  int                      `cbor:"3,keyasint,omitempty"`
	}

	// OccurrenceRecord is the stored progress of one occurrence. If Complete is set,
	// all its steps are done and Steps is empty.
	OccurrenceRecord struct {
		Complete bool         `cbor:"1,keyasint,omitempty"`
		Steps    []StepRecord `cbor:"2,keyasint,omitempty"`
	}

	// StepRecord is the stored progress of a step. Keys 2 and 3 were used with
	// other types by an earlier release and must not be used again: gates of
	// both releases may run side by side during an update, and no task of a job
	// starts whose record can't be decoded.
	StepRecord struct {
		// Done has one bit for each task, the lowest bit of the first byte for task
		// 0.
		Done []byte `cbor:"1,keyasint,omitempty"`

		// Failed are the failed runs of a gang.
		Failed []work.Run         `cbor:"5,keyasint,omitempty"`
		Tasks  map[int]TaskRecord `cbor:"4,keyasint,omitempty"`
	}

	// TaskRecord is the stored progress of a task that is not done. Keys 1 and 2
	// were used by an earlier release and must not be used again either.
	TaskRecord struct {
		// Failed are the failed runs of a task that is no gang member.
		Failed     []work.Run      `cbor:"4,keyasint,omitempty"`
		Checkpoint work.Checkpoint `cbor:"3,keyasint,omitempty"`
	}
)

// Restore builds the state from the rows that gates and earlier leaders wrote. It
// is called once, before all other methods but SetWallClockOffset and SetLog.
// SetWallClockOffset must come first, for the due and acceptance times of jobs to be
// right.
func (c *Core) Restore(now time.Time, jobs, cancels, records, agents, paces []table.Row) {
	for _, row := range paces {
		c.loadRunTimes(row)
		c.loadSpeeds(row)
	}
	for _, row := range agents {
		w := c.newWorker(now, control.AgentID(row.Key[len(AgentPrefix):]))
		w.row.version = row.Version
		w.awaitingReport = true
		w.holdExpiry = now.Add(c.leaseTimeout())
	}
	byJob := make(map[work.JobID]Record, len(records))
	versions := make(map[work.JobID]table.Version, len(records))
	records, parts := splitParts(records)
	for _, row := range records {
		id := work.JobID(row.Key[len(RecordPrefix):])
		r, err := decodeRecord(row, parts)
		if err != nil {
			c.log(LogEntry{Event: "record unreadable", Job: id, Outcome: err.Error(), Version: row.Version})
			c.unreadable[id] = true
			continue
		}
		byJob[id] = r
		versions[id] = row.Version
	}
	for _, row := range jobs {
		c.ApplyRow(now, row)
	}
	for id, r := range byJob {
		if j := c.jobs[id]; j != nil {
			j.row.version = versions[id]
			j.parts = r.Progress.Parts
			c.restoreJob(now, j, r)
		}
	}
	for _, row := range cancels {
		c.ApplyRow(now, row)
	}
	c.pruneEnded()
}

// ApplyRow applies the row of a job or a cancellation. It ignores a job that is already
// known or has been removed, or whose record can't be decoded, and rows with other keys.
// A row that no gate can have written is logged and left out.
func (c *Core) ApplyRow(now time.Time, row table.Row) {
	if id, ok := cutPrefix(row.Key, CancelPrefix); ok {
		c.Cancel(now, work.JobID(id), row.Version)
		return
	}
	id, ok := cutPrefix(row.Key, JobPrefix)
	if !ok || row.Value == nil || c.unreadable[work.JobID(id)] || c.wasRemoved(work.JobID(id), row.Version) {
		return
	}
	var s Submission
	err := cbor.Unmarshal(row.Value, &s)
	if err == nil {
		err = s.Job.Check()
	}
	if err == nil && s.Job.ID != work.JobID(id) {
		err = &work.InvalidError{Field: "id", Reason: "not that of the row"}
	}
	if err != nil {
		c.log(LogEntry{Event: "job unreadable", Job: work.JobID(id), Outcome: err.Error(), Version: row.Version})
		return
	}
	c.Admit(now, s, row.Version)
}

// cutPrefix returns the rest of a key after the prefix, and false if the key does
// not begin with it or nothing is left.
func cutPrefix(key, prefix table.Key) (string, bool) {
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return "", false
	}
	return string(key[len(prefix):]), true
}

// restoreJob applies a job's stored record.
func (c *Core) restoreJob(now time.Time, j *job, r Record) {
	j.occurrences, j.opened = nil, 0
	for j.opened < min(r.Progress.Opened, j.Job.Occurrences()) {
		record, open := r.Progress.Open[j.opened]
		if !open {
			j.opened++
			j.began = true
			continue
		}
		for i, s := range c.open(j).steps {
			if i < len(record.Steps) {
				s.restore(record.Steps[i])
			}
			j.began = j.began || s.done > 0
		}
	}
	j.durableState = r.State
	if r.State == Completed || r.State == Failed || r.State == Cancelled {
		j.state = r.State
		j.endedAt = now
		return
	}
	c.advance(now, j)
}

// restore applies a step's stored record.
func (s *step) restore(r StepRecord) {
	s.failed = r.Failed
	for i := range s.tasks {
		t := &s.tasks[i]
		if i/8 < len(r.Done) && r.Done[i/8]&(1<<(i%8)) != 0 {
			t.done = true
			s.done++
		}
		stored := r.Tasks[i]
		t.failed, t.checkpoint = stored.Failed, stored.Checkpoint
	}
}

// record returns the job's progress as it is to be stored.
func (j *job) record() Record {
	r := Record{State: j.state}
	if j.hasEnded() {
		return r
	}
	r.Progress = Progress{Opened: j.opened, Open: make(map[int]OccurrenceRecord)}
	for _, o := range j.occurrences {
		if o.done {
			continue
		}
		var stored OccurrenceRecord
		for _, s := range o.steps {
			stored.Steps = append(stored.Steps, s.record())
		}
		r.Progress.Open[o.number] = stored
	}
	return r
}

// record returns the step's progress as it is to be stored.
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
