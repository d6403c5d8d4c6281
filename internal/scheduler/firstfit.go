package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

type (
	// firstFit starts jobs in the order of their arrival on the first workers
	// that have room.
	firstFit struct {
		workers  map[floor.WorkerID]*usage
		accounts map[account.Name]account.Account
		queue    []Job
		running  map[job.ID]started
	}

	started struct {
		job       Job
		placement floor.Placement
	}

	usage struct {
		worker floor.Worker
		busy   floor.Accelerators
		cores  int
		memory floor.MiB
		slots  int
		drain  bool
	}
)

// NewFirstFit returns a policy that starts jobs in the order of their arrival
// on the first workers that have room.
func NewFirstFit() Policy {
	return &firstFit{
		workers:  make(map[floor.WorkerID]*usage),
		accounts: make(map[account.Name]account.Account),
		running:  make(map[job.ID]started),
	}
}

func (f *firstFit) AddWorker(worker floor.Worker) {
	u, ok := f.workers[worker.ID]
	if !ok {
		u = &usage{}
		f.workers[worker.ID] = u
	}
	u.worker = worker
	u.drain = false
}

func (f *firstFit) DrainWorker(id floor.WorkerID) {
	if u, ok := f.workers[id]; ok {
		u.drain = true
	}
}

func (f *firstFit) RemoveWorker(id floor.WorkerID) {
	delete(f.workers, id)
}

func (f *firstFit) SetAccounts(accounts []account.Account) {
	clear(f.accounts)
	for _, a := range accounts {
		f.accounts[a.Name] = a
	}
}

func (f *firstFit) CheckAccounts([]account.Account) error {
	return nil
}

func (f *firstFit) Admit(_ time.Time, entry Job) error {
	waiting := 0
	for _, q := range f.queue {
		if q.Account == entry.Account {
			waiting++
		}
	}
	limit := f.accounts[entry.Account].Parameters.QueueLimit
	if limit > 0 && waiting >= limit {
		return &RefusedError{Field: "account", Reason: "the account's queue limit is reached"}
	}
	f.queue = append(f.queue, entry)
	return nil
}

func (f *firstFit) Restore(_ time.Time, entry Job, placement floor.Placement) {
	if placement == nil {
		f.queue = append(f.queue, entry)
		return
	}
	f.take(placement, 1)
	f.running[entry.ID] = started{job: entry, placement: placement}
}

func (f *firstFit) Requeue(_ time.Time, id job.ID, _ Outcome) {
	s, ok := f.running[id]
	if !ok {
		return
	}
	f.release(id)
	f.queue = slices.Insert(f.queue, 0, s.job)
}

func (f *firstFit) Spent(job.ID) bool { return false }

func (f *firstFit) Remove(_ time.Time, id job.ID, _ Outcome) {
	f.release(id)
	f.queue = slices.DeleteFunc(f.queue, func(q Job) bool { return q.ID == id })
}

func (f *firstFit) Decide(time.Time) []Decision {
	var decisions []Decision
	for len(f.queue) > 0 {
		head := f.queue[0]
		placement := f.place(head.Shape)
		if placement == nil {
			break
		}
		f.queue = f.queue[1:]
		f.take(placement, 1)
		f.running[head.ID] = started{job: head, placement: placement}
		decisions = append(decisions, Start{Job: head.ID, Placement: placement})
	}
	return decisions
}

func (f *firstFit) SetBudgets([]Budget) {}

func (f *firstFit) Report(time.Time, floor.WorkerID, floor.Watts) {}

func (f *firstFit) Explain(_ time.Time, id job.ID) (Explanation, bool) {
	for i, q := range f.queue {
		if q.ID == id {
			return Explanation{Job: id, Waiting: true, Place: i + 1, Reason: "jobs before it wait"}, true
		}
	}
	_, ok := f.running[id]
	return Explanation{Job: id}, ok
}

func (f *firstFit) Overview(time.Time) Overview {
	var overview Overview
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		u := f.workers[id]
		overview.Workers = append(overview.Workers, WorkerState{
			Worker: u.worker, Busy: u.busy, Cores: u.cores, Memory: u.memory, Slots: u.slots, Draining: u.drain,
		})
	}
	return overview
}

func (f *firstFit) Wake() time.Time {
	return time.Time{}
}

func (f *firstFit) place(shape floor.Shape) floor.Placement {
	var placement floor.Placement
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		u := f.workers[id]
		share, ok := u.fit(shape)
		if !ok {
			continue
		}
		placement = append(placement, share)
		if len(placement) == shape.Workers {
			return placement
		}
	}
	return nil
}

func (f *firstFit) release(id job.ID) {
	s, ok := f.running[id]
	if !ok {
		return
	}
	f.take(s.placement, -1)
	delete(f.running, id)
}

func (f *firstFit) take(placement floor.Placement, sign int) {
	for _, share := range placement {
		u, ok := f.workers[share.Worker]
		if !ok && sign < 0 {
			continue
		}
		if !ok {
			u = &usage{}
			f.workers[share.Worker] = u
		}
		if sign > 0 {
			u.busy |= share.Accelerators
		} else {
			u.busy &^= share.Accelerators
		}
		u.cores += sign * share.Cores
		u.memory += floor.MiB(sign) * share.Memory
		u.slots += sign
	}
}

func (u *usage) fit(shape floor.Shape) (floor.Share, bool) {
	free := u.worker.Accelerators - u.busy.Count()
	switch {
	case u.drain,
		free < shape.Accelerators,
		u.worker.Cores-u.cores < shape.Cores,
		u.worker.Memory-u.memory < shape.Memory,
		u.worker.Slots-u.slots < 1:
		return floor.Share{}, false
	}
	share := floor.Share{Worker: u.worker.ID, Cores: shape.Cores, Memory: shape.Memory}
	for i := 0; share.Accelerators.Count() < shape.Accelerators; i++ {
		bit := floor.Accelerators(1) << i
		if u.busy&bit == 0 {
			share.Accelerators |= bit
		}
	}
	return share, true
}
