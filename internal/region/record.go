package region

import (
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
