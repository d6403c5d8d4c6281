package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// headReview is the time between two searches for a better reservation.
	headReview = time.Minute

	// riskOfCell is the later start that a reservation is worth which stands on
	// one guarantee of another account less.
	riskOfCell = 10 * time.Minute
)

type (
	// head is a reservation: the place that a waiting job is to have, and when
	// it is expected to be clear. Who starts there later must be off by then.
	head struct {
		task   *task
		shares []share
		at     time.Time
		due    time.Time
	}

	vacancy struct {
		share share
		at    time.Time
		risk  time.Duration
	}
)

// startHeads starts the reserved jobs that have a place.
func (p *policy) startHeads() {
	for _, h := range slices.Clone(p.heads) {
		t := h.task
		if t.state != stateWaiting {
			p.release(h)
			continue
		}
		shares := h.shares
		if slices.ContainsFunc(shares, func(s share) bool { return !s.open() }) || !affordable(shares) {
			shares = p.place(t, viewFree)
		}
		if shares == nil {
			continue
		}
		t.shares = shares
		p.dequeue(t)
		p.start(t)
	}
}

// open reports whether a share can be taken at once.
func (s share) open() bool {
	w := s.worker
	return s.clear() && w.held&s.mask == 0 &&
		w.busyAmount.plus(w.heldAmount).plus(s.amount).within(w.capacity())
}

// reserveHeads gives the jobs that waited longest a reservation.
func (p *policy) reserveHeads() {
	for _, h := range slices.Clone(p.heads) {
		if !h.sound() {
			p.release(h)
		}
	}
	for len(p.heads) < p.config.Heads {
		t := p.oldest()
		if t == nil || len(p.heads) > 0 && !p.aged(t) || !p.reserve(t) {
			return
		}
	}
}

func (h *head) sound() bool {
	return h.task.state == stateWaiting &&
		!slices.ContainsFunc(h.shares, func(s share) bool { return !s.worker.usable() || s.worker.held&s.mask != 0 })
}

// oldest returns the waiting job without a reservation that came first.
func (p *policy) oldest() *task {
	var best *task
	for _, c := range p.classes {
		if c.unreserved == p.freed {
			continue
		}
		for _, l := range c.lanes {
			for _, t := range l.tasks[l.first:min(len(l.tasks), l.first+p.config.Heads+1)] {
				if t.head == nil {
					if best == nil || before(t, best) {
						best = t
					}
					break
				}
			}
		}
	}
	return best
}

// reserve finds where a task can start first, and keeps that place for it.
func (p *policy) reserve(t *task) bool {
	shares, at := p.earliest(t)
	if shares == nil {
		p.class(t.Shape).unreserved = p.freed
		return p.oldest() != nil
	}
	h := &head{task: t, shares: shares, at: at, due: at}
	t.head = h
	p.heads = append(p.heads, h)
	for _, s := range shares {
		s.worker.head = h
		s.worker.kept = s.mask
		s.worker.keptSum = s.amount
	}
	return true
}

// release gives a reservation up.
func (p *policy) release(h *head) {
	for _, s := range h.shares {
		if s.worker.head == h {
			s.worker.head = nil
			s.worker.kept = 0
			s.worker.keptSum = amount{}
		}
	}
	h.task.head = nil
	p.heads = without(p.heads, h)
	p.free()
}

func (p *policy) dropHead(t *task) {
	if t.head != nil {
		p.release(t.head)
	}
}

// fillHole marks a task that starts within a reservation.
func (p *policy) fillHole(t *task) {
	for _, s := range t.shares {
		if h := s.worker.head; h != nil && h != t.head && s.mask&s.worker.kept != 0 {
			t.filler = h
		}
	}
}

// expireHeads takes places back from fillers that overran, and looks for a
// better place for reservations that are late.
func (p *policy) expireHeads() {
	for _, h := range slices.Clone(p.heads) {
		if p.now.Before(h.due) {
			continue
		}
		h.due = p.now.Add(headReview)
		late := p.reclaimFillers(h)
		if late || h.task.state != stateWaiting {
			continue
		}
		if shares, at := p.earliest(h.task); shares != nil && at.Before(p.now.Add(headReview)) {
			continue
		} else if shares != nil && at.Before(h.clear(p.now)) {
			t := h.task
			p.release(h)
			p.reserve(t)
		}
	}
}

// clear is when the last task on a reservation is expected to have ended.
func (h *head) clear(now time.Time) time.Time {
	last := now
	for _, s := range h.shares {
		for _, t := range s.worker.tasks {
			if end := t.end(now); t.mask&s.mask != 0 && end.After(last) {
				last = end
			}
		}
	}
	return last
}

func (p *policy) reclaimFillers(h *head) bool {
	found := false
	for _, s := range h.shares {
		for _, t := range slices.Clone(s.worker.tasks) {
			if t.filler == h && t.state == stateRunning && t.reclaimable() {
				p.displace(t.task, p.config.Grace)
				found = true
			}
		}
	}
	return found
}

// earliest returns the place where a task is expected to start first.
func (p *policy) earliest(t *task) ([]share, time.Time) {
	var best []share
	var at time.Time
	for _, d := range p.floor.domains(t.Shape.Adjacency) {
		p.vacancies = p.vacancies[:0]
		for _, w := range d.workers {
			if v, ok := p.vacancy(t, w); ok {
				p.vacancies = append(p.vacancies, v)
			}
		}
		if len(p.vacancies) < t.Shape.Workers {
			continue
		}
		slices.SortStableFunc(p.vacancies, func(x, y vacancy) int {
			return cmp.Or(x.at.Add(x.risk).Compare(y.at.Add(y.risk)), x.at.Compare(y.at))
		})
		last := p.vacancies[t.Shape.Workers-1].at
		if best != nil && !last.Before(at) {
			continue
		}
		at = last
		best = best[:0]
		for _, v := range p.vacancies[:t.Shape.Workers] {
			best = append(best, v.share)
		}
	}
	return best, at
}

// vacancy returns when a worker is expected to have room for a member.
func (p *policy) vacancy(t *task, w *worker) (vacancy, bool) {
	n := needOf(t.Shape)
	if !w.usable() || t.avoids(p.now, w) || w.head != nil && w.head != t.head ||
		w.Accelerators < n.accelerators || !n.amount.within(w.capacity()) {
		return vacancy{}, false
	}
	busy, used := w.busy|w.held, w.busyAmount.plus(w.heldAmount)
	p.ending = append(append(p.ending[:0], w.tasks...), w.pending...)
	for i := range p.ending {
		p.ending[i].ends = p.ending[i].end(p.now)
	}
	slices.SortStableFunc(p.ending, func(x, y part) int { return x.ends.Compare(y.ends) })
	at := p.now
	for i := 0; ; i++ {
		mask, _, ok := group(busy, w.Accelerators, n.accelerators)
		if ok && used.plus(n.amount).within(w.capacity()) {
			return vacancy{share: share{worker: w, mask: mask, amount: n.amount}, at: at, risk: p.risk(t, w, mask)}, true
		}
		if i == len(p.ending) {
			return vacancy{}, false
		}
		at = p.ending[i].ends
		busy, used = busy&^p.ending[i].mask, used.minus(p.ending[i].amount)
	}
}

// risk weighs that other accounts may claim what they are guaranteed on a
// reserved place.
func (p *policy) risk(t *task, w *worker, mask floor.Accelerators) time.Duration {
	risk := time.Duration(0)
	for _, c := range w.cells {
		if c.tenant != t.tenant && c.maskOn(w)&mask != 0 {
			risk += riskOfCell
		}
	}
	return risk
}
