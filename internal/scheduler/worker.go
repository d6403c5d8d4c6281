package scheduler

import (
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// amount is what members take of a worker beside accelerators.
	amount struct {
		cores  int
		memory floor.MiB
		slots  int
	}

	// worker is a worker with what is in use on it. Busy is what running jobs
	// hold, held what is kept for jobs whose place is being reclaimed, and bound
	// what guarantees stand on.
	worker struct {
		floor.Worker
		known bool
		lost  bool
		drain bool

		busy, held, bound                   floor.Accelerators
		busyAmount, heldAmount, boundAmount amount

		tasks   []part
		pending []part
		cells   []*cell
		head    *head
		fixed   int
		warm    floor.Accelerators
		warmSum amount
		kept    floor.Accelerators
		keptSum amount
		rack    *domain
		centre  *domain
		budgets []*budget

		blames    []job.ID
		blamed    time.Time
		until     time.Time
		bans      int
		probation bool

		drawn    floor.Watts
		reported time.Time
		nominal  floor.Watts
	}

	// part is a share with the job that holds it.
	part struct {
		*task
		mask   floor.Accelerators
		amount amount
	}

	// share is what one member of a job holds on a worker.
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

// usable reports whether new work may be placed on the worker.
func (w *worker) usable() bool {
	return w.known && !w.lost && !w.drain && w.until.IsZero()
}

// idle reports whether none of the worker's accelerators is in use.
func (w *worker) idle() bool {
	return w.busy|w.held == 0
}

// draw is the cooling that a share of the worker stands for.
func (w *worker) draw(s share) floor.Watts {
	return w.Worker.Draw(floor.Share{Accelerators: s.mask, Cores: s.amount.cores})
}

// span returns the accelerators from base on, size of them.
func span(base, size int) floor.Accelerators {
	if size >= floor.MaxAccelerators {
		return ^floor.Accelerators(0)
	}
	return (floor.Accelerators(1)<<size - 1) << base
}

// order returns the order of the smallest aligned group that holds n.
func order(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// group returns n free accelerators within the aligned group that fits them, in
// the smallest free block, and by how many orders the block exceeds the group.
func group(busy floor.Accelerators, total, n int) (mask floor.Accelerators, excess int, ok bool) {
	if n == 0 {
		return 0, 0, true
	}
	if n > total {
		return 0, 0, false
	}
	own := order(n)
	size := 1 << own
	existing := span(0, total)
	best := -1
	for base := 0; base < total; base += size {
		open := span(base, size) & existing &^ busy
		if bits.OnesCount64(uint64(open)) < n {
			continue
		}
		grown := blockOrder(busy, total, base, own) - own
		if best >= 0 && grown >= best {
			continue
		}
		best = grown
		mask = lowest(open, n)
	}
	return mask, best, best >= 0
}

// blockOrder returns the order of the largest free aligned block around a group.
func blockOrder(busy floor.Accelerators, total, base, own int) int {
	for o := own; ; o++ {
		size := 2 << o
		start := base &^ (size - 1)
		if size > floor.MaxAccelerators || 1<<o >= total || busy&span(start, size) != 0 {
			return o
		}
	}
}

func lowest(open floor.Accelerators, n int) floor.Accelerators {
	var mask floor.Accelerators
	for range n {
		bit := open & -open
		mask |= bit
		open &^= bit
	}
	return mask
}

func (s share) of(t *task) part {
	return part{task: t, mask: s.mask, amount: s.amount}
}

// share returns the share that a part of a worker stands for.
func (t part) share(w *worker) share {
	return share{worker: w, mask: t.mask, amount: t.amount}
}

// occupy adds a running share to its worker.
func (s share) occupy(t *task) {
	s.worker.busy |= s.mask
	s.worker.busyAmount = s.worker.busyAmount.plus(s.amount)
	s.load(1)
	s.worker.tasks = append(s.worker.tasks, s.of(t))
	s.count(1)
	s.worker.fix(t, 1)
}

func (s share) vacate(t *task) {
	s.worker.busy &^= s.mask
	s.worker.busyAmount = s.worker.busyAmount.minus(s.amount)
	s.load(-1)
	s.worker.tasks = without(s.worker.tasks, s.of(t))
	s.count(-1)
	s.worker.fix(t, -1)
}

func (s share) hold(t *task) {
	s.worker.held |= s.mask
	s.worker.heldAmount = s.worker.heldAmount.plus(s.amount)
	s.worker.pending = append(s.worker.pending, s.of(t))
	s.count(1)
	s.keep(1)
	s.worker.fix(t, 1)
}

func (s share) unhold(t *task) {
	s.worker.held &^= s.mask
	s.worker.heldAmount = s.worker.heldAmount.minus(s.amount)
	s.worker.pending = without(s.worker.pending, s.of(t))
	s.count(-1)
	s.keep(-1)
	s.worker.fix(t, -1)
}

// fix counts a job that cannot run again, and is left alone where possible.
func (w *worker) fix(t *task, n int) {
	if !t.Idempotent {
		w.fixed += n
	}
}

// clear reports whether nothing runs any more where the share is.
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
