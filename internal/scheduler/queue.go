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
	urgentRank = -1
)

type (
	// tenant is an account with its cells and jobs.
	tenant struct {
		name       account.Name
		known      bool
		parameters account.Parameters
		cells      []*cell
		lanes      []*lane
		active     []*task
		estimates  map[account.Class]*estimate
		waiting    int
		running    int
		weight     int
		urgentSize int
		dirty      bool
		best       *lane
		score      float64
	}

	laneKey struct {
		account account.Name
		class   account.Class
		shape   floor.Shape
		span    int
	}

	// lane is the queue of the jobs of one account, class, shape and order of
	// run time, in the order of their arrival.
	lane struct {
		key      laneKey
		tenant   *tenant
		class    *class
		estimate *estimate
		rank     int
		tasks    []*task
		first    int
		blocked  uint64
		tried    uint64
	}

	// class is all lanes of one shape. It is blocked while nothing was freed
	// since a search for a place failed.
	class struct {
		shape      floor.Shape
		lanes      []*lane
		blocked    uint64
		checked    uint64
		fits       bool
		unreserved uint64
	}
)

// tenant returns the account's tenant.
func (p *policy) tenant(name account.Name) *tenant {
	t, ok := p.byName[name]
	if ok {
		return t
	}
	t = &tenant{name: name, parameters: account.DefaultParameters(), estimates: make(map[account.Class]*estimate)}
	p.byName[name] = t
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

// rank is the place of a class in the account's order.
func (t *tenant) rank(class account.Class) int {
	if slices.Contains(t.parameters.Urgent, class) {
		return urgentRank
	}
	if i := slices.Index(t.parameters.Order, class); i >= 0 {
		return i
	}
	return len(t.parameters.Order)
}

// pack and keep are what the account weighs, out of ten.
func (t *tenant) pack() int {
	w := t.parameters.Weights
	if sum := w.Completion + w.Fragmentation; sum > 0 {
		return 1 + int(9*w.Fragmentation/sum)
	}
	return 5
}

func (t *tenant) keep() int {
	return 11 - t.pack()
}

// class returns the class of a shape.
func (p *policy) class(shape floor.Shape) *class {
	c, ok := p.byShape[shape]
	if !ok {
		c = &class{shape: shape}
		p.byShape[shape] = c
	}
	return c
}

// lane returns the lane that a task waits in.
func (p *policy) lane(t *task) *lane {
	key := laneKey{t.Account, t.Class, t.Shape, bits.Len64(uint64(t.Expected / time.Minute))}
	l, ok := p.lanes[key]
	if ok {
		return l
	}
	l = &lane{
		key: key, tenant: t.tenant, class: p.class(t.Shape),
		estimate: t.tenant.estimate(t.Class), rank: t.tenant.rank(t.Class),
	}
	p.lanes[key] = l
	if len(l.class.lanes) == 0 {
		p.classes = append(p.classes, l.class)
	}
	l.class.lanes = append(l.class.lanes, l)
	t.tenant.lanes = append(t.tenant.lanes, l)
	if l.rank == urgentRank {
		p.urgent = append(p.urgent, l)
	}
	return l
}

// drop forgets an empty lane.
func (p *policy) drop(l *lane) {
	delete(p.lanes, l.key)
	p.urgent = without(p.urgent, l)
	l.tenant.lanes = without(l.tenant.lanes, l)
	l.class.lanes = without(l.class.lanes, l)
	if len(l.class.lanes) == 0 {
		p.classes = without(p.classes, l.class)
		delete(p.byShape, l.class.shape)
	}
}

// enqueue makes a task wait at its place in the order.
func (p *policy) enqueue(t *task) {
	t.state = stateWaiting
	t.queued = p.now
	l := p.lane(t)
	t.lane = l
	t.tenant.waiting++
	t.tenant.dirty = true
	p.changes++
	if l.len() == 0 || before(l.tasks[len(l.tasks)-1], t) {
		l.tasks = append(l.tasks, t)
		return
	}
	i, _ := slices.BinarySearchFunc(l.tasks[l.first:], t, byArrival)
	l.tasks = slices.Insert(l.tasks, l.first+i, t)
}

// dequeue takes a waiting task out of its lane.
func (p *policy) dequeue(t *task) {
	l := t.lane
	if l == nil {
		return
	}
	t.lane = nil
	t.tenant.waiting--
	if l.head() == t {
		l.tasks[l.first] = nil
		l.first++
		l.compact()
	} else if i, ok := slices.BinarySearchFunc(l.tasks[l.first:], t, byArrival); ok {
		l.tasks = slices.Delete(l.tasks, l.first+i, l.first+i+1)
	}
	if l.len() == 0 {
		p.drop(l)
	}
}

func (l *lane) len() int {
	return len(l.tasks) - l.first
}

func (l *lane) head() *task {
	return l.tasks[l.first]
}

func (l *lane) compact() {
	if l.first > 32 && l.first > len(l.tasks)/2 {
		l.tasks = slices.Delete(l.tasks, 0, l.first)
		l.first = 0
	}
}

// before orders tasks by their arrival.
func before(x, y *task) bool {
	return byArrival(x, y) < 0
}

func byArrival(x, y *task) int {
	return cmp.Or(x.Submitted.Compare(y.Submitted), cmp.Compare(x.arrival, y.arrival))
}

// ratio is what the head of a lane waited against how long it is to run. It
// grows without bound for each waiting job.
func (l *lane) ratio(now time.Time) float64 {
	t := l.head()
	run := t.expected().Seconds() + 60
	return (now.Sub(t.Submitted).Seconds() + run) / run
}
