package lease

import (
	"encoding/json"
	"errors"
	"strconv"

	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

func (e *Elector) write() {
	e.lastProposed = max(e.lastProposed, e.lease.Renewals) + 1
	proposed := Lease{Holder: e.node, Epoch: e.lease.Epoch, Renewals: e.lastProposed}
	if !e.held {
		proposed.Epoch++
	}
	e.inFlight = true
	e.writeSentAt = e.store.Now()
	if !e.held {
		e.log(AcquisitionSent, proposed, nil)
	}
	e.commit(proposed, !e.held, func(result machine.StoreResult) {
		e.inFlight = false
		e.finishWrite(proposed, result)
	})
}

// release writes a lease without a holder.
func (e *Elector) release() {
	released := Lease{Epoch: e.lease.Epoch, Renewals: e.lease.Renewals + 1}
	e.inFlight = true
	e.writeSentAt = e.store.Now()
	uncertainBefore := e.mayBeReleased
	e.mayBeReleased = true
	e.log(ReleaseSent, released, nil)
	e.commit(released, false, func(result machine.StoreResult) {
		e.inFlight = false
		e.finishRelease(released, uncertainBefore, result)
	})
}

// finishRelease applies the result of a release. After a rejection the row can only be
// released by an earlier release whose result is uncertain.
func (e *Elector) finishRelease(released Lease, uncertainBefore bool, result machine.StoreResult) {
	var rejected *table.RejectedError
	switch {
	case result.Err == nil:
		e.log(ReleaseDurable, released, nil)
		e.update(released, result.Rows[0].Version)
		return
	case errors.As(result.Err, &rejected):
		e.mayBeReleased = uncertainBefore
		e.log(ReleaseRejected, released, result.Err)
	default:
		e.log(ReleaseUnresolved, released, result.Err)
	}
	e.read()
}

func (e *Elector) commit(proposed Lease, newEpoch bool, done func(machine.StoreResult)) {
	value, err := json.Marshal(proposed)
	if err != nil {
		return
	}
	txn := table.Txn{
		Checks: []table.Check{{Key: e.key, Version: e.version}},
		Writes: []table.Write{{Key: e.key, Value: value}},
	}
	if newEpoch {
		epoch := strconv.FormatUint(uint64(proposed.Epoch), 10)
		txn.Writes = append(txn.Writes, table.Write{Key: e.guardKey(), Value: []byte(epoch)})
	}
	e.store.Commit(txn, done)
}

func (e *Elector) finishWrite(proposed Lease, result machine.StoreResult) {
	var rejected *table.RejectedError
	switch {
	case result.Err == nil && len(result.Rows) > 1:
		e.applyWrite(proposed, result.Rows[0].Version, result.Rows[1].Version)
	case result.Err == nil:
		e.applyWrite(proposed, result.Rows[0].Version, e.guardVersion)
	case errors.As(result.Err, &rejected):
		return
	default:
		kind := RenewalUnresolved
		if proposed.Epoch != e.lease.Epoch {
			kind = AcquisitionUnresolved
		}
		e.log(kind, proposed, result.Err)
		e.resolveWrite(proposed)
	}
}

// resolveWrite reads the row after a conflict, or a write with an uncertain outcome,
// to find out whether the write was applied. An earlier write that was applied late does
// not extend the lease, and does not make the node the holder.
func (e *Elector) resolveWrite(proposed Lease) {
	e.inFlight = true
	e.store.Read([]table.Key{e.key, e.guardKey()}, func(result machine.StoreResult) {
		e.inFlight = false
		if stored, version, guard, ok := e.decodeRows(result.Rows); result.Err == nil && ok && stored == proposed {
			e.log(WriteFound, proposed, nil)
			e.applyWrite(proposed, version, guard)
			return
		}
		e.log(WriteNotFound, proposed, result.Err)
		e.applyRead(result)
	})
}

// applyWrite sets the known state of the lease after a successful write by this node. A
// renewal does not make the node the holder again if it has ceased to be that in the
// meantime, and a write of an earlier epoch than the known one is out of date.
func (e *Elector) applyWrite(current Lease, version, guard table.Version) {
	if current.Epoch < e.lease.Epoch {
		return
	}
	before, held := e.lease, e.held
	acquired := before.Epoch != current.Epoch && !e.resigned
	e.mayBeReleased = false
	e.lease, e.version, e.guardVersion, e.held = current, version, guard, held || acquired
	e.confirmedAt, e.unchangedFor = e.store.Now(), 0
	e.renewedAt = e.writeSentAt
	if before.Epoch != current.Epoch {
		e.config.Changed(e.lease, e.held)
	}
}
