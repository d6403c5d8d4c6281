package gate

import (
	"encoding/json"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// maxBufferedOutcomes is the number of outcomes that a gate buffers.
	// Further outcomes are not buffered.
	maxBufferedOutcomes = 10_000

	// tableRecoveryDelay is the time for which the gate leaves it to the leader
	// to write the outcomes once the table is available again.
	tableRecoveryDelay = 2 * time.Second

	// maxStoresPerTick is the number of outcomes that a gate reads back and
	// stores in one tick.
	maxStoresPerTick = 5

	// maxOutcomesPerMessage is the number of outcomes in one message to the
	// leader.
	maxOutcomesPerMessage = 100
)

// outcomeBuffer holds the outcomes of jobs that this gate reported to callers
// while the table was unavailable, and stores them once it is available. So an
// acknowledged outcome survives the loss of the leader and of the agents that
// held it. Until then the gate sends the outcomes to each leader, so that none
// records another outcome for these jobs. busy is set while a table operation
// is in flight; remaining is the number of outcomes that may still be stored in
// this tick.
type outcomeBuffer struct {
	gate      *Gate
	queue     []job.ID
	records   map[job.ID]job.Record
	busy      bool
	remaining int
	nextStore time.Time
	nextSend  time.Time
}

func newOutcomeBuffer(g *Gate) *outcomeBuffer {
	return &outcomeBuffer{gate: g, records: make(map[job.ID]job.Record)}
}

// add buffers the outcome of a job if it is not durable.
func (b *outcomeBuffer) add(m wire.Status) {
	_, known := b.records[m.Record.ID]
	if !m.Known || !m.Volatile || !m.Record.State.Final() || known || len(b.queue) >= maxBufferedOutcomes {
		return
	}
	b.records[m.Record.ID] = m.Record
	b.queue = append(b.queue, m.Record.ID)
}

// tick sends the outcomes to the leader, and begins to store them if the table
// is available.
func (b *outcomeBuffer) tick(now time.Time) {
	if len(b.queue) > 0 && !now.Before(b.nextSend) {
		b.nextSend = now.Add(b.gate.config.ResendInterval)
		b.sendToLeader()
	}
	if b.gate.health.down(now, 0) {
		b.nextStore = now.Add(tableRecoveryDelay)
		return
	}
	if b.busy || len(b.queue) == 0 || now.Before(b.nextStore) || !b.gate.handler.retries.Ready(now, tableNode) {
		return
	}
	b.remaining = maxStoresPerTick
	b.storeNext()
}

// sendToLeader sends the oldest outcomes to the leader.
func (b *outcomeBuffer) sendToLeader() {
	m := wire.AcknowledgedOutcomes{Records: make([]job.Record, 0, min(len(b.queue), maxOutcomesPerMessage))}
	for _, id := range b.queue[:min(len(b.queue), maxOutcomesPerMessage)] {
		m.Records = append(m.Records, b.records[id])
	}
	b.gate.send(b.gate.handler.leader.Holder, m)
}

// storeNext reads the rows of the oldest job, to store its outcome if that is
// missing.
func (b *outcomeBuffer) storeNext() {
	if len(b.queue) == 0 || b.remaining == 0 {
		return
	}
	b.remaining--
	b.busy = true
	region := b.gate.config.Region
	id := b.queue[0]
	b.gate.store.Read([]table.Key{endedKey(region, id), liveKey(region, id)}, func(result machine.StoreResult) {
		b.busy = false
		b.storeUnlessPresent(id, result)
	})
}

// storeUnlessPresent writes an outcome that the table does not have. A refusal
// is not written over a job that was submitted again in the meantime.
func (b *outcomeBuffer) storeUnlessPresent(id job.ID, result machine.StoreResult) {
	if result.Err != nil {
		b.gate.handler.retries.Failed(b.gate.now, tableNode)
		return
	}
	region := b.gate.config.Region
	live := table.Absent
	for _, row := range result.Rows {
		if row.Key == endedKey(region, id) {
			b.remove(id)
			b.storeNext()
			return
		}
		live = row.Version
	}
	value, err := json.Marshal(b.records[id])
	if err != nil || (live != table.Absent && b.records[id].State == job.StateRefused) {
		b.remove(id)
		return
	}
	txn := table.Txn{
		Checks: []table.Check{{Key: endedKey(region, id)}, {Key: liveKey(region, id), Version: live}},
		Writes: []table.Write{{Key: endedKey(region, id), Value: value}},
	}
	if live != table.Absent {
		txn.Writes = append(txn.Writes, table.Write{Key: liveKey(region, id), Delete: true})
	}
	b.busy = true
	b.gate.store.Commit(txn, func(result machine.StoreResult) {
		b.busy = false
		if result.Err == nil {
			b.remove(id)
			b.storeNext()
		}
	})
}

// remove removes the outcome of the job, which is the oldest one.
func (b *outcomeBuffer) remove(id job.ID) {
	delete(b.records, id)
	b.queue = b.queue[1:]
}
