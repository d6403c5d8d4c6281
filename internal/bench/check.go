package bench

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// ReclaimBound is the time in which an account gets a guaranteed shape that
	// it claims.
	ReclaimBound = time.Minute

	// UrgentBound is the time in which urgent work starts.
	UrgentBound = 2 * time.Second
)

type (
	// claim is that of a waiting job on its account's guarantee.
	claim struct {
		open  bool
		void  bool
		since time.Duration
	}
)

// breadth orders adjacencies from the tightest to the loosest.
var breadth = map[floor.Adjacency]int{
	floor.AdjacentWorker: 0, floor.AdjacentRack: 1, floor.AdjacentDataCentre: 2, floor.AdjacentRegion: 3,
}

// illegal says what is wrong with a start, or nothing.
func (r *runner) illegal(e *entry, placement floor.Placement) string {
	switch {
	case e == nil:
		return "unknown job started"
	case e.phase != waiting:
		return "started though it does not wait"
	case len(placement) != e.Shape.Workers:
		return fmt.Sprintf("%d members started instead of %d", len(placement), e.Shape.Workers)
	}
	seen := make(map[floor.WorkerID]bool)
	first := r.machines[placement[0].Worker]
	for _, share := range placement {
		m := r.machines[share.Worker]
		if m == nil || m.lost || seen[share.Worker] {
			return "started on a worker that is lost or has a member already"
		}
		seen[share.Worker] = true
		if reason := m.illegal(e.Shape, share); reason != "" {
			return reason
		}
		if (e.Shape.Adjacency == floor.AdjacentRack && (m.Rack != first.Rack || m.DataCentre != first.DataCentre)) ||
			(e.Shape.Adjacency == floor.AdjacentDataCentre && m.DataCentre != first.DataCentre) {
			return "members are not adjacent"
		}
	}
	return ""
}

func (m *machine) illegal(s floor.Shape, share floor.Share) string {
	switch {
	case share.Accelerators.Count() != s.Accelerators || bits.Len64(uint64(share.Accelerators)) > m.Worker.Accelerators:
		return "wrong accelerators"
	case share.Accelerators&m.busy != 0:
		return "accelerators are in use"
	case share.Cores < s.Cores || m.cores+share.Cores > m.Cores:
		return "too few cores"
	case share.Memory < s.Memory || m.memory+share.Memory > m.Memory:
		return "too little memory"
	case m.slots >= m.Slots:
		return "no slot"
	}
	return ""
}

// take takes the place of a job, or with a negative sign frees it.
func (r *runner) take(e *entry, sign int) {
	for _, share := range e.placement {
		m := r.machines[share.Worker]
		m.busy ^= share.Accelerators
		m.cores += sign * share.Cores
		m.memory += floor.MiB(sign) * share.Memory
		m.slots += sign
	}
	r.drawn(e, sign)
	r.touch(e)
}

// drawn adds or subtracts what a job draws on its workers.
func (r *runner) drawn(e *entry, sign int) {
	for _, share := range e.placement {
		watts := floor.Watts(float64(acceleratorDraw) * float64(share.Accelerators.Count()) * e.heat * e.speed)
		r.machines[share.Worker].draw += floor.Watts(sign) * watts
		r.gauge.draw += floor.Watts(sign) * watts
	}
}

// claims finds the waiting jobs that have a claim on a guarantee: those that fit
// into guaranteed shapes beside all running jobs of the account, in its order.
func (r *runner) claims() {
	for name, a := range r.accounts {
		if len(a.Parameters.Guarantees) > 0 && r.touched[name] {
			r.claimsOf(a)
		}
	}
	clear(r.touched)
}

func (r *runner) claimsOf(a account.Account) {
	lines := slices.Clone(a.Parameters.Guarantees)
	slices.SortStableFunc(lines, func(x, y account.Guarantee) int { return cmp.Compare(size(x.Shape), size(y.Shape)) })
	entries := slices.Clone(r.active[a.Name])
	slices.SortStableFunc(entries, func(x, y *entry) int {
		return cmp.Or(
			compareBool(y.phase != waiting, x.phase != waiting),
			cmp.Compare(rank(a, x.Class), rank(a, y.Class)),
			cmp.Compare(x.At, y.At),
		)
	})
	for _, e := range entries {
		line := slices.IndexFunc(lines, func(g account.Guarantee) bool { return g.Count > 0 && holds(g.Shape, e.Shape) })
		if line >= 0 {
			lines[line].Count--
		}
		if e.phase != waiting {
			continue
		}
		claims := line >= 0 && e.failures == 0
		if claims && !e.claim.open {
			e.claim = claim{open: true, since: r.now, void: r.impaired > 0}
		}
		e.claim.open = claims
	}
}

// claimed notes how long a job that starts has claimed its place.
func (r *runner) claimed(e *entry) {
	if !e.claim.open || e.claim.void {
		e.claim = claim{}
		return
	}
	took := r.now - e.claim.since
	e.claim = claim{}
	r.result.Claims = append(r.result.Claims, took)
	if took > ReclaimBound {
		r.result.Violated = append(r.result.Violated, finding(e, "claimed", took))
	}
}

// impair notes that part of the floor is lost or fails, or is back. Open claims
// do not count meanwhile.
func (r *runner) impair(by int) {
	if r.impaired > 0 {
		r.impairedFor += r.now - r.impairedSince
	}
	r.impaired += by
	r.impairedSince = r.now
	for _, e := range r.entries {
		e.claim.void = true
	}
}

func (r *runner) broken(id job.ID, reason string) {
	r.result.Broken = append(r.result.Broken, fmt.Sprintf("%v %s: %s", r.now, id, reason))
}

// finding describes a job that had to wait too long.
func finding(e *entry, what string, took time.Duration) string {
	return fmt.Sprintf("%s of %s/%s (%d x %d, submitted %v, ran %v) %s for %v",
		e.ID, e.Account, e.Class, e.Shape.Workers, e.Shape.Accelerators, e.At, e.Run, what, took)
}

// holds reports whether the guaranteed shape has room for the other.
func holds(guaranteed, s floor.Shape) bool {
	return s.Workers <= guaranteed.Workers &&
		s.Accelerators <= guaranteed.Accelerators &&
		s.Cores <= guaranteed.Cores &&
		s.Memory <= guaranteed.Memory &&
		(s.Workers == 1 || breadth[guaranteed.Adjacency] <= breadth[s.Adjacency])
}

func size(s floor.Shape) int {
	return s.Workers * s.Accelerators
}

// rank returns the place of a class in its account's order.
func rank(a account.Account, class account.Class) int {
	if i := slices.Index(a.Parameters.Order, class); i >= 0 {
		return i
	}
	return len(a.Parameters.Order)
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}
