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
	// maxKept is the number of ends of jobs that a gate keeps until they are
	// durable.
	maxKept = 10_000

	// keepDelay is the time for which a gate leaves it to the leader to write the
	// ends of jobs once the store answers.
	keepDelay = 2 * time.Second

	// maxKeeps is the number of ends that a gate settles in one tick.
	maxKeeps = 5

	// maxShared is the number of ends in one message to a leader.
	maxShared = 100
)

// keeper keeps the ends of jobs that this gate has told callers while the store
// was away, and writes them once it is back: so that they last though the leader
// and the agents that knew them do not. Until then it tells each leader of them,
// so that none settles these jobs in another way.
type keeper struct {
	gate  *Gate
	queue []job.ID
	known map[job.ID]job.Record
	busy  bool
	left  int
	next  time.Time
	share time.Time
}

func newKeeper(g *Gate) *keeper {
	return &keeper{gate: g, known: make(map[job.ID]job.Record)}
}

// take keeps the end of a job that is not durable.
func (k *keeper) take(m wire.Status) {
	_, known := k.known[m.Record.ID]
	if !m.Known || !m.Volatile || !m.Record.State.Final() || known || len(k.queue) >= maxKept {
		return
	}
	k.known[m.Record.ID] = m.Record
	k.queue = append(k.queue, m.Record.ID)
}

// tick tells the leader of the ends, and settles the oldest one if the store
// answers.
func (k *keeper) tick(now time.Time) {
	if len(k.queue) > 0 && !now.Before(k.share) {
		k.share = now.Add(k.gate.config.Resend)
		k.tell()
	}
	if k.gate.health.down(now, 0) {
		k.next = now.Add(keepDelay)
		return
	}
	if k.busy || len(k.queue) == 0 || now.Before(k.next) || !k.gate.front.retries.Ready(now, tableNode) {
		return
	}
	k.left = maxKeeps
	k.settle()
}

// tell tells the leader of the oldest ends.
func (k *keeper) tell() {
	m := wire.Kept{Records: make([]job.Record, 0, min(len(k.queue), maxShared))}
	for _, id := range k.queue[:min(len(k.queue), maxShared)] {
		m.Records = append(m.Records, k.known[id])
	}
	k.gate.send(k.gate.front.leader.Holder, m)
}

// settle reads what the table has of the oldest job.
func (k *keeper) settle() {
	if len(k.queue) == 0 || k.left == 0 {
		return
	}
	k.left--
	k.busy = true
	region := k.gate.config.Region
	id := k.queue[0]
	k.gate.store.Read([]table.Key{doneKey(region, id), liveKey(region, id)}, func(result machine.Stored) {
		k.busy = false
		k.compare(id, result)
	})
}

// compare writes an end that the table does not have. A refusal does not end a
// job that was submitted again since.
func (k *keeper) compare(id job.ID, result machine.Stored) {
	if result.Err != nil {
		k.gate.front.retries.Failed(k.gate.now, tableNode)
		return
	}
	region := k.gate.config.Region
	live := table.Absent
	for _, row := range result.Rows {
		if row.Key == doneKey(region, id) {
			k.drop(id)
			k.settle()
			return
		}
		live = row.Version
	}
	value, err := json.Marshal(k.known[id])
	if err != nil || (live != table.Absent && k.known[id].State == job.StateRefused) {
		k.drop(id)
		return
	}
	txn := table.Txn{
		Checks: []table.Check{{Key: doneKey(region, id)}, {Key: liveKey(region, id), Version: live}},
		Writes: []table.Write{{Key: doneKey(region, id), Value: value}},
	}
	if live != table.Absent {
		txn.Writes = append(txn.Writes, table.Write{Key: liveKey(region, id), Delete: true})
	}
	k.busy = true
	k.gate.store.Commit(txn, func(result machine.Stored) {
		k.busy = false
		if result.Err == nil {
			k.drop(id)
			k.settle()
		}
	})
}

func (k *keeper) drop(id job.ID) {
	delete(k.known, id)
	k.queue = k.queue[1:]
}
