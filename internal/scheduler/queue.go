package scheduler

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	urgentPriority = -1
)

type (
	// tenant is the scheduling state of one account: its guarantees, its queue
	// and its running jobs. known reports that the settings have the account.
	tenant struct {
		name       account.Name
		known      bool
		parameters account.Parameters
		guarantees []*guarantee
		lanes      []*lane
		active     []*jobEntry
		estimates  map[account.Class]*estimate
		waiting    int
		running    int
		// runningSize is the size of all running jobs, and urgentSize that of
		// the largest urgent job seen.
		runningSize int
		urgentSize  int
		// claimsDue is set when a waiting job may be able to use a guarantee.
		claimsDue bool
		// bestLane and bestRatio are scratch space of pickLane.
		bestLane  *lane
		bestRatio float64
	}

	// laneKey is what the jobs of a lane have in common. expectedMagnitude is
	// the number of bits of the declared run time in minutes.
	laneKey struct {
		account           account.Name
		class             account.Class
		shape             floor.Shape
		expectedMagnitude int
	}

	// lane is a first-in, first-out part of an account's queue: the waiting jobs
	// of one class, one shape and similar declared run times, in the order of
	// their submission.
	lane struct {
		key        laneKey
		tenant     *tenant
		shapeGroup *shapeGroup
		estimate   *estimate
		// priority is the position of the class in the account's order; lower
		// goes first.
		priority int
		// jobs[first:] are the waiting jobs.
		jobs  []*jobEntry
		first int
		// blockedAt is the value of policy.freed, and triedAt that of
		// policy.changes, at the last search that found no place.
		blockedAt uint64
		triedAt   uint64
	}

	// shapeGroup is the lanes of all accounts for one shape. blockedAt and
	// unreservableAt are the values of policy.freed at the last search for a
	// place, and for a reservation, that found none.
	shapeGroup struct {
		shape          floor.Shape
		lanes          []*lane
		blockedAt      uint64
		checkedAt      uint64
		fits           bool
		unreservableAt uint64
	}
)

// tenant returns the state of an account, and adds it if there is none.
func (p *policy) tenant(name account.Name) *tenant {
	t, ok := p.tenantOf[name]
	if ok {
		return t
	}
	t = &tenant{name: name, parameters: account.DefaultParameters(), estimates: make(map[account.Class]*estimate)}
	p.tenantOf[name] = t
	i, _ := slices.BinarySearchFunc(p.tenants, name, func(x *tenant, n account.Name) int { return cmp.Compare(x.name, n) })
	p.tenants = slices.Insert(p.tenants, i, t)
	return t
}

func (t *tenant) estimate(class account.Class) *estimate {
	e, ok := t.estimates[class]
	if !ok {
		e = newEstimate()
		t.estimates[class] = e
	}
	return e
}

// priority returns the position of a class in the account's order; lower goes
// first.
func (t *tenant) priority(class account.Class) int {
	if slices.Contains(t.parameters.Urgent, class) {
		return urgentPriority
	}
	if i := slices.Index(t.parameters.Order, class); i >= 0 {
		return i
	}
	return len(t.parameters.Order)
}

// packWeight is the weight, from 1 to 10, that the account gives to low
// fragmentation, and completionWeight the one to early completion. Their sum is
// 11.
func (t *tenant) packWeight() int {
	w := t.parameters.Weights
	if sum := w.Completion + w.Fragmentation; sum > 0 {
		return 1 + int(9*w.Fragmentation/sum)
	}
	return 5
}

func (t *tenant) completionWeight() int {
	return 11 - t.packWeight()
}

// shapeGroup returns the group of a shape, and adds it if there is none.
func (p *policy) shapeGroup(shape floor.Shape) *shapeGroup {
	sg, ok := p.shapeGroupOf[shape]
	if !ok {
		sg = &shapeGroup{shape: shape}
		p.shapeGroupOf[shape] = sg
	}
	return sg
}

// lane returns the lane that a job waits in, and adds it if there is none.
func (p *policy) lane(t *jobEntry) *lane {
	key := laneKey{t.Account, t.Class, t.Shape, bits.Len64(uint64(t.Expected / time.Minute))}
	l, ok := p.lanes[key]
	if ok {
		return l
	}
	l = &lane{
		key: key, tenant: t.tenant, shapeGroup: p.shapeGroup(t.Shape),
		estimate: t.tenant.estimate(t.Class), priority: t.tenant.priority(t.Class),
	}
	p.lanes[key] = l
	if len(l.shapeGroup.lanes) == 0 {
		p.shapeGroups = append(p.shapeGroups, l.shapeGroup)
	}
	l.shapeGroup.lanes = append(l.shapeGroup.lanes, l)
	t.tenant.lanes = append(t.tenant.lanes, l)
	if l.priority == urgentPriority {
		p.urgent = append(p.urgent, l)
	}
	return l
}

// dropLane deletes an empty lane.
func (p *policy) dropLane(l *lane) {
	delete(p.lanes, l.key)
	p.urgent = without(p.urgent, l)
	l.tenant.lanes = without(l.tenant.lanes, l)
	l.shapeGroup.lanes = without(l.shapeGroup.lanes, l)
	if len(l.shapeGroup.lanes) == 0 {
		p.shapeGroups = without(p.shapeGroups, l.shapeGroup)
		delete(p.shapeGroupOf, l.shapeGroup.shape)
	}
}

// enqueue adds a job to its lane, in the order of submission.
func (p *policy) enqueue(t *jobEntry) {
	t.state = stateWaiting
	t.queuedAt = p.now
	l := p.lane(t)
	t.lane = l
	t.tenant.waiting++
	t.tenant.claimsDue = true
	p.changes++
	if l.len() == 0 || before(l.jobs[len(l.jobs)-1], t) {
		l.jobs = append(l.jobs, t)
		return
	}
	i, _ := slices.BinarySearchFunc(l.jobs[l.first:], t, bySubmission)
	l.jobs = slices.Insert(l.jobs, l.first+i, t)
}

// dequeue takes a waiting job out of its lane.
func (p *policy) dequeue(t *jobEntry) {
	l := t.lane
	if l == nil {
		return
	}
	t.lane = nil
	t.tenant.waiting--
	if l.head() == t {
		l.jobs[l.first] = nil
		l.first++
		l.compact()
	} else if i, ok := slices.BinarySearchFunc(l.jobs[l.first:], t, bySubmission); ok {
		l.jobs = slices.Delete(l.jobs, l.first+i, l.first+i+1)
	}
	if l.len() == 0 {
		p.dropLane(l)
	}
}

func (l *lane) len() int {
	return len(l.jobs) - l.first
}

func (l *lane) head() *jobEntry {
	return l.jobs[l.first]
}

// compact reuses the space of jobs that have left the lane.
func (l *lane) compact() {
	if l.first > 32 && l.first > len(l.jobs)/2 {
		l.jobs = slices.Delete(l.jobs, 0, l.first)
		l.first = 0
	}
}

// before reports whether x was submitted before y.
func before(x, y *jobEntry) bool {
	return bySubmission(x, y) < 0
}

func bySubmission(x, y *jobEntry) int {
	return cmp.Or(x.Submitted.Compare(y.Submitted), cmp.Compare(x.arrival, y.arrival))
}

// waitRatio is the time from the submission of the lane's first job to its
// expected end if it started now, relative to its expected run time. A minute
// is added to the run time. As the ratio grows without bound, every waiting
// job goes first at some time.
func (l *lane) waitRatio(now time.Time) float64 {
	t := l.head()
	run := t.expectedRunTime().Seconds() + 60
	return (now.Sub(t.Submitted).Seconds() + run) / run
}
