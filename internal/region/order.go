package region

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/plan"
	"github.com/lovageroad/lovageroad/internal/share"
	"github.com/lovageroad/lovageroad/internal/work"
)

// starvationAge is how long after its deadline a job that is of no more value to its caller
// is overdue, so that it runs although a shortage lasts. It is longer than a burst of callers.
const starvationAge = time.Minute

const (
	// onTime is the class of a job that can still meet its latency objective.
	onTime timeliness = iota

	// late is the class of a job that can't meet its objective, but can end while
	// it is still of value to its caller.
	late

	// tooLate is the class of a job that can only end when it is of no more value
	// to its caller. It still runs, after all others.
	tooLate
)

type (
	// rankedDemand is a demand with what it is ordered by.
	rankedDemand struct {
		demand   plan.Demand
		step     *step
		job      *job
		deadline time.Time
		class    timeliness

		// turn says that it is the turn of this overdue job.
		turn bool
	}

	// timeliness says whether a job can still meet its latency objective.
	timeliness int
)

// demands returns the demands of all waiting tasks.
func (c *Core) demands(now time.Time, guaranteed map[*job]bool) []rankedDemand {
	var demands []rankedDemand
	for _, j := range c.liveJobs {
		if j.hasEnded() {
			continue
		}
		for _, o := range j.occurrences {
			if due := c.due(j, o.number); due.After(now) {
				c.replanBy(due)
				continue
			}
			for _, s := range o.steps {
				if o.done || s.readyAt.IsZero() || s.done == len(s.tasks) {
					continue
				}
				if d, ok := c.newDemand(now, j, o, s, guaranteed[j]); ok {
					demands = append(demands, d)
				}
			}
		}
	}
	return demands
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// timelinessOf returns the class of a job if its whole critical path were to start
// now. Its latency objective counts from start.
func timelinessOf(now, start, deadline time.Time, criticalPath time.Duration) timeliness {
	done := now.Add(criticalPath)
	switch {
	case !done.After(deadline):
		return onTime
	case !done.After(start.Add(lateFactor * deadline.Sub(start))):
		return late
	}
	return tooLate
}

// total returns the request of all waiting tasks of a demand together.
func (d *rankedDemand) total() work.Resources {
	return times(d.demand.Spec.Request(), len(d.demand.Waiting))
}

// order sorts the demands into the order in which they are to be served: those of guaranteed
// jobs first, then by timeliness, by priority and by deadline. The demands of a pool in which
// there is a shortage are ordered by compareUnderShortage, and by their accounts' shares.
func (c *Core) order(now time.Time, demands []rankedDemand, workers []plan.Worker) {
	loads := poolLoads(demands, workers)
	slices.SortStableFunc(demands, func(a, b rankedDemand) int {
		return cmp.Or(
			compareBool(b.demand.Guaranteed, a.demand.Guaranteed),
			cmp.Compare(a.class, b.class),
			cmp.Compare(a.demand.Priority, b.demand.Priority),
			a.deadline.Compare(b.deadline),
		)
	})
	for pool, load := range loads {
		if !load.short() {
			continue
		}
		shares := c.sharesOf(pool)
		c.noteShortage(now, pool, load, shares)
		var places []int
		var waiting []rankedDemand
		for i := range demands {
			if demands[i].demand.Pool == pool {
				places = append(places, i)
				waiting = append(waiting, demands[i])
			}
		}
		c.grantTurn(now, pool, waiting)
		slices.SortStableFunc(waiting, func(a, b rankedDemand) int {
			return cmp.Or(a.compareUnderShortage(&b), a.deadline.Compare(b.deadline))
		})
		for i, d := range shareOut(waiting, shares) {
			demands[places[i]] = d
		}
	}
}

// compareUnderShortage compares what orders the demands of different accounts in a shortage:
// the guarantee, then the overdue job whose turn it is, then whether the job is of any more
// value to its caller, then the priority, and only then whether the job is late.
//
// It answers the load of urgent gangs that became late by a short wait beside many tasks of
// queues with time to spare: these would fill each worker as it becomes free, until the gangs
// are of no more value.
func (d *rankedDemand) compareUnderShortage(other *rankedDemand) int {
	return cmp.Or(
		compareBool(other.demand.Guaranteed, d.demand.Guaranteed),
		compareBool(other.turn, d.turn),
		compareBool(d.class == tooLate, other.class == tooLate),
		cmp.Compare(d.demand.Priority, other.demand.Priority),
		cmp.Compare(d.class, other.class),
	)
}

// grantTurn gives the job that is overdue for longest its turn, unless another overdue one
// runs. So the jobs that are of no more value to their callers all run in the end, but one
// after the other, and take little from those that are.
//
// It answers the load of a shortage that lasts.
func (c *Core) grantTurn(now time.Time, pool work.PoolID, waiting []rankedDemand) {
	var first *rankedDemand
	for i := range waiting {
		d := &waiting[i]
		if d.class == tooLate && now.Sub(d.deadline) >= starvationAge && (first == nil || d.deadline.Before(first.deadline)) {
			first = d
		}
	}
	if first == nil || c.overdueRuns(now, pool, first.job) {
		return
	}
	first.turn = true
	if first.demand.Spec.Gang || first.demand.Spec.Count == 1 {
		first.demand.EarmarkHorizon = c.expected(first.job, first.step)
	}
}

// overdueRuns reports whether an overdue job of the pool other than the given one runs.
func (c *Core) overdueRuns(now time.Time, pool work.PoolID, except *job) bool {
	for _, j := range c.liveJobs {
		if j == except || j.hasEnded() || c.queue(j).Pool != pool {
			continue
		}
		for _, o := range j.occurrences {
			if now.Sub(c.deadline(j, o, c.criticalPath(j))) < starvationAge {
				continue
			}
			if slices.ContainsFunc(o.steps, func(s *step) bool { return !s.spec.LongRunning && s.placed() > 0 }) {
				return true
			}
		}
	}
	return false
}

// shareOut orders the demands of one pool within those that rank the same by
// compareUnderShortage: first those of accounts that hold less than an equal share, then the
// others in turns.
//
// It answers the load of a burst of one large account beside small accounts.
func shareOut(demands []rankedDemand, shares *share.Pool) []rankedDemand {
	ordered := make([]rankedDemand, 0, len(demands))
	for begin := 0; begin < len(demands); {
		end := begin + 1
		for end < len(demands) && demands[begin].compareUnderShortage(&demands[end]) == 0 {
			end++
		}
		claims := make([]share.Claim, 0, end-begin)
		for i := begin; i < end; i++ {
			claims = append(claims, share.Claim{Account: demands[i].job.Job.Account, Request: demands[i].total()})
		}
		for _, i := range shares.Fill(claims) {
			ordered = append(ordered, demands[begin+i])
		}
		begin = end
	}
	return ordered
}
