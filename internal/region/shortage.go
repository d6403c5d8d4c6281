package region

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/plan"
	"github.com/lovageroad/lovageroad/internal/share"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// shortageEnd is how long all that waits in a pool must have fitted before the shortage
	// there is over, so that its begin and end are not logged with each task.
	shortageEnd = 2 * time.Second

	// shareInterval is the least time between two entries with the accounts' shares of a
	// pool: the interval at which operators read metrics is longer.
	shareInterval = 2 * time.Second

	// loggedShares is the most accounts whose shares an entry lists.
	loggedShares = 8
)

type (
	// poolLoad is what waits in a pool and what of its capacity is free, or will be when
	// the tasks that are stopping have ended.
	poolLoad struct {
		demands       int
		waiting, free work.Resources

		// rooms is what is free on each worker, by rack.
		rooms map[work.RackID][]work.Resources

		// scattered says that a demand fits into what is free in all, but not on the
		// workers.
		scattered bool
	}

	// shortage is a time in which what waits in a pool doesn't fit.
	shortage struct {
		since, seen, sharesLogged time.Time
	}
)

// short reports whether what waits doesn't fit.
func (l *poolLoad) short() bool {
	return l.scattered || !l.waiting.Fits(l.free)
}

// holds reports whether the waiting tasks of the demand fit on the workers, in the racks where
// they may run.
func (l *poolLoad) holds(d *plan.Demand) bool {
	request, left := d.Spec.Request(), len(d.Waiting)
	oneRack := d.Spec.SameRack && d.Spec.Count > 1 && !d.AllowRemote
	for rack, rooms := range l.rooms {
		if d.Spec.DataRack != "" && d.Spec.DataRack != rack && !d.AllowRemote {
			continue
		}
		if left -= fitting(request, rooms, left); left <= 0 {
			return true
		}
		if oneRack {
			left = len(d.Waiting)
		}
	}
	return left <= 0
}

// fitting returns how many tasks fit into the rooms, at most limit.
func fitting(request work.Resources, rooms []work.Resources, limit int) int {
	n := 0
	for _, room := range rooms {
		for n < limit && request.Fits(room) {
			room = room.Sub(request)
			n++
		}
	}
	return n
}

// poolLoads returns the load of each pool in which something waits.
func poolLoads(demands []rankedDemand, workers []plan.Worker) map[work.PoolID]*poolLoad {
	loads := make(map[work.PoolID]*poolLoad)
	for i := range demands {
		d := &demands[i]
		l := loads[d.demand.Pool]
		if l == nil {
			l = &poolLoad{rooms: make(map[work.RackID][]work.Resources)}
			loads[d.demand.Pool] = l
		}
		l.demands++
		l.waiting = l.waiting.Add(d.total())
	}
	for i := range workers {
		l := loads[workers[i].Pool]
		if l == nil || workers[i].Unschedulable {
			continue
		}
		room := workers[i].Capacity
		for k := range workers[i].Occupants {
			if o := &workers[i].Occupants[k]; !o.Stopping {
				room = room.Sub(o.Request)
			}
		}
		l.free = l.free.Add(room)
		l.rooms[workers[i].Rack] = append(l.rooms[workers[i].Rack], room)
	}
	for i := range demands {
		d := &demands[i].demand
		if l := loads[d.Pool]; !l.short() {
			l.scattered = !l.holds(d)
		}
	}
	return loads
}

// sharesOf returns what the accounts hold of a pool: what is ordered to run and not to
// stop. It follows from what runs, so that a new leader knows it from the reports.
func (c *Core) sharesOf(pool work.PoolID) *share.Pool {
	shares := share.NewPool(c.poolCapacity[pool], func(account work.AccountID) int64 {
		if c.currentConfiguration == nil {
			return 0
		}
		return c.currentConfiguration.GuaranteedAccelerators(account)
	})
	for _, j := range c.liveJobs {
		if c.queue(j).Pool != pool {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if n := s.placed(); n > 0 {
					shares.Hold(share.Claim{Account: j.Job.Account, Request: times(s.spec.Request(), n)})
				}
			}
		}
	}
	return shares
}

// placed returns how many tasks of the step are ordered to run and not to stop.
func (s *step) placed() int {
	n := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; t.worker != nil && !t.stopping {
			n++
		}
	}
	return n
}

// noteShortage logs when a shortage begins and when it is over, and during it the accounts'
// shares.
func (c *Core) noteShortage(now time.Time, pool work.PoolID, l *poolLoad, shares *share.Pool) {
	s := c.shortages[pool]
	if s == nil {
		s = &shortage{since: now}
		c.shortages[pool] = s
		c.log(LogEntry{Event: "shortage begins", Pool: pool, Detail: fmt.Sprintf("waiting=%s free=%s scattered=%t", describeResources(l.waiting), describeResources(l.free), l.scattered), Count: l.demands})
	}
	s.seen = now
	if now.Sub(s.sharesLogged) < shareInterval {
		return
	}
	s.sharesLogged = now
	all := shares.Shares()
	accounts := slices.SortedFunc(maps.Keys(all), func(a, b work.AccountID) int { return cmp.Or(cmp.Compare(all[b], all[a]), cmp.Compare(a, b)) })
	var list []string
	for _, account := range accounts[:min(len(accounts), loggedShares)] {
		list = append(list, fmt.Sprintf("%s=%.3f", account, all[account]))
	}
	c.log(LogEntry{Event: "shares", Pool: pool, Detail: strings.Join(list, " "), Count: len(accounts), Shares: all})
}

// endShortages logs the shortages that are over.
func (c *Core) endShortages(now time.Time) {
	for pool, s := range c.shortages {
		if now.Sub(s.seen) >= shortageEnd {
			delete(c.shortages, pool)
			c.log(LogEntry{Event: "shortage ends", Pool: pool, Age: s.seen.Sub(s.since)})
		}
	}
}

// describeResources returns millicores / MiB / accelerators.
func describeResources(r work.Resources) string {
	return fmt.Sprintf("%d/%d/%d", r.Processor, r.Memory, r.Accelerators)
}

// times returns n times the resources.
func times(r work.Resources, n int) work.Resources {
	return work.Resources{Processor: r.Processor * work.Millicores(n), Memory: r.Memory * work.Mebibytes(n), Accelerators: r.Accelerators * int64(n)}
}
