package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// amount is what a job uses of a worker besides accelerators.
	amount struct {
		cores  int
		memory floor.MiB
		slots  int
	}

	// worker is a worker and what is in use on it.
	worker struct {
		floor.Worker
		// known is set once the worker has been added: restored placements may
		// name it before. removed and draining workers get no new jobs.
		known    bool
		removed  bool
		draining bool

		// busy is in use by running jobs, held is kept for pending jobs, and
		// bound belongs to guarantees, whoever uses it.
		busy, held, bound                   floor.Accelerators
		busyAmount, heldAmount, boundAmount amount

		// jobs and pending are the shares of running and of pending jobs.
		jobs       []jobShare
		pending    []jobShare
		guarantees []*guarantee
		// reservation is the only one on the worker, and reserved what it covers.
		reservation *reservation
		// nonIdempotent counts the jobs here that are not idempotent.
		nonIdempotent int
		// standby capacity is not lent, so that urgent jobs start at once.
		standby        floor.Accelerators
		standbyAmount  amount
		reserved       floor.Accelerators
		reservedAmount amount
		rack           *domain
		centre         *domain
		budgets        []*budget

		// failedJobs lists the jobs that failed here since the last success.
		failedJobs []job.ID
		// lastSuccess is the start time of the last job that ran well,
		// lastFailure the time of the last failure.
		lastSuccess time.Time
		lastFailure time.Time
		// quarantinedUntil is zero outside of a quarantine. Each quarantine is
		// followed by probation, until a job has run well. quarantines sets the
		// length of the next quarantine.
		quarantinedUntil time.Time
		quarantines      int
		probation        bool

		// reportedDraw is the power draw that was last reported, in watts, and
		// nominalDraw what the running jobs are expected to draw.
		reportedDraw floor.Watts
		reportedAt   time.Time
		nominalDraw  floor.Watts
	}

	// jobShare is a share and the job that holds it.
	jobShare struct {
		*jobEntry
		mask   floor.Accelerators
		amount amount
	}

	// share is what one member of a job holds on one worker, or could hold
	// there.
	share struct {
		worker *worker
		mask   floor.Accelerators
		amount amount
	}
)

func (a amount) plus(b amount) amount {
	return amount{a.cores + b.cores, a.memory + b.memory, a.slots + b.slots}
}

func (a amount) minus(b amount) amount {
	return amount{a.cores - b.cores, a.memory - b.memory, a.slots - b.slots}
}

func (a amount) within(b amount) bool {
	return a.cores <= b.cores && a.memory <= b.memory && a.slots <= b.slots
}

func (w *worker) capacity() amount {
	return amount{w.Cores, w.Memory, w.Slots}
}

func (w *worker) all() floor.Accelerators {
	return span(0, w.Accelerators)
}

// usable reports whether new jobs may be placed on the worker.
func (w *worker) usable() bool {
	return w.known && !w.removed && !w.draining && w.quarantinedUntil.IsZero()
}

// idle reports whether no accelerators of the worker are busy or held.
func (w *worker) idle() bool {
	return w.busy|w.held == 0
}

// draw returns the power that a share of the worker is expected to draw.
func (w *worker) draw(s share) floor.Watts {
	return w.Worker.CoolingOf(floor.Allocation{Accelerators: s.mask, Cores: s.amount.cores})
}

// span returns the set of accelerators with the indexes from base to
// base+size-1.
func span(base, size int) floor.Accelerators {
	if size >= floor.MaxAccelerators {
		return ^floor.Accelerators(0)
	}
	return (floor.Accelerators(1)<<size - 1) << base
}

// order returns the order of the smallest aligned group that holds n
// accelerators. A group of order o has 2^o accelerators, and its first index is a
// multiple of its size.
func order(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// alignedGroup returns n accelerators that are not busy and lie in one aligned
// group of the smallest order that holds n. Of several it takes the one in the
// smallest free block, as in buddy allocation, and returns by how many orders
// that block exceeds the group.
func alignedGroup(busy floor.Accelerators, total, n int) (mask floor.Accelerators, excess int, ok bool) {
	if n == 0 {
		return 0, 0, true
	}
	if n > total {
		return 0, 0, false
	}
	groupOrder := order(n)
	size := 1 << groupOrder
	existing := span(0, total)
	best := -1
	for base := 0; base < total; base += size {
		free := span(base, size) & existing &^ busy
		if bits.OnesCount64(uint64(free)) < n {
			continue
		}
		blockExcess := freeBlockOrder(busy, total, base, groupOrder) - groupOrder
		if best >= 0 && blockExcess >= best {
			continue
		}
		best = blockExcess
		mask = lowest(free, n)
	}
	return mask, best, best >= 0
}

// freeBlockOrder returns the order of the largest free aligned block around the
// group at base.
func freeBlockOrder(busy floor.Accelerators, total, base, groupOrder int) int {
	for o := groupOrder; ; o++ {
		size := 2 << o
		start := base &^ (size - 1)
		if size > floor.MaxAccelerators || 1<<o >= total || busy&span(start, size) != 0 {
			return o
		}
	}
}

// lowest returns the n accelerators of the set with the lowest indexes.
func lowest(free floor.Accelerators, n int) floor.Accelerators {
	var mask floor.Accelerators
	for range n {
		bit := free & -free
		mask |= bit
		free &^= bit
	}
	return mask
}

// heldBy returns the share as held by a job.
func (s share) heldBy(t *jobEntry) jobShare {
	return jobShare{jobEntry: t, mask: s.mask, amount: s.amount}
}

// share returns the share of the worker that the job holds.
func (t jobShare) share(w *worker) share {
	return share{worker: w, mask: t.mask, amount: t.amount}
}

// occupy counts the share as in use by a running job.
func (s share) occupy(t *jobEntry) {
	s.worker.busy |= s.mask
	s.worker.busyAmount = s.worker.busyAmount.plus(s.amount)
	s.countRunningDraw(1)
	s.worker.jobs = append(s.worker.jobs, s.heldBy(t))
	s.countMember(1)
	s.worker.countNonIdempotent(t, 1)
}

// vacate is the reverse of occupy.
func (s share) vacate(t *jobEntry) {
	s.worker.busy &^= s.mask
	s.worker.busyAmount = s.worker.busyAmount.minus(s.amount)
	s.countRunningDraw(-1)
	s.worker.jobs = without(s.worker.jobs, s.heldBy(t))
	s.countMember(-1)
	s.worker.countNonIdempotent(t, -1)
}

// hold counts the share as held for a pending job.
func (s share) hold(t *jobEntry) {
	s.worker.held |= s.mask
	s.worker.heldAmount = s.worker.heldAmount.plus(s.amount)
	s.worker.pending = append(s.worker.pending, s.heldBy(t))
	s.countMember(1)
	s.countHeldDraw(1)
	s.worker.countNonIdempotent(t, 1)
}

// unhold is the reverse of hold.
func (s share) unhold(t *jobEntry) {
	s.worker.held &^= s.mask
	s.worker.heldAmount = s.worker.heldAmount.minus(s.amount)
	s.worker.pending = without(s.worker.pending, s.heldBy(t))
	s.countMember(-1)
	s.countHeldDraw(-1)
	s.worker.countNonIdempotent(t, -1)
}

// countNonIdempotent adds n to the number of jobs here that are not idempotent.
func (w *worker) countNonIdempotent(t *jobEntry, n int) {
	if !t.Idempotent {
		w.nonIdempotent += n
	}
}

// clear reports whether the worker is usable and no running job is in the way
// of the share any more.
func (s share) clear() bool {
	w := s.worker
	return w.usable() && w.busy&s.mask == 0 && w.busyAmount.plus(s.amount).within(w.capacity())
}

func without[T comparable](list []T, element T) []T {
	if i := slices.Index(list, element); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
