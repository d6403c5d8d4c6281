package bench

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

func (r *runner) start(e *entry, placement floor.Placement) {
	if reason := r.illegal(e, placement); reason != "" {
		r.broken(e.ID, reason)
		return
	}
	e.phase, e.placement, e.speed = running, placement, 1
	e.begun, e.resumed = r.now, r.now
	e.attempt++
	e.timer++
	if !e.started {
		e.started, e.first = true, r.now
	}
	r.claimed(e)
	r.take(e, 1)
	blamed := placement[0].Worker
	fails := e.Poison
	for _, share := range placement {
		if r.machines[share.Worker].failing {
			fails, blamed = true, share.Worker
		}
	}
	if e.doomed = fails; fails {
		r.planFor(e, failTime, func() { r.fail(e, blamed) })
		return
	}
	r.planEnd(e)
}

func (r *runner) planEnd(e *entry) {
	r.planFor(e, time.Duration(float64(e.left)/e.speed), func() {
		r.advance(e)
		r.vacate(e)
		r.end(e, Done)
		r.policy.Remove(r.at(), e.ID, scheduler.Outcome{Elapsed: e.Run})
	})
}

func (r *runner) fail(e *entry, blamed floor.WorkerID) {
	elapsed := r.now - e.begun
	e.failures++
	outcome := scheduler.Outcome{Failed: true, Blamed: blamed, Elapsed: elapsed}
	r.vacate(e)
	if e.failures < maxFailures && e.Idempotent {
		r.policy.Requeue(r.at(), e.ID, outcome)
		return
	}
	r.policy.Remove(r.at(), e.ID, outcome)
	if e.Poison {
		r.end(e, Failed)
		return
	}
	if e.Idempotent {
		r.result.Burnt++
	} else {
		r.result.Spoilt++
	}
	r.resubmit(e)
}

// resubmit has the caller of a job that cannot run again submit a like one after
// a while, so that all policies do the same work.
func (r *runner) resubmit(e *entry) {
	r.withdraw(e)
	e.failures, e.saved, e.left = 0, 0, e.Run
	r.plan(r.now+resubmitAfter, func() {
		e.ID += "+"
		e.Submitted = r.at()
		r.byID[e.ID] = e
		r.arrive(e)
	})
}

// reclaim stops a job after its checkpoint, or at the end of the grace if it
// does not answer. A repeated order can only stop it sooner.
func (r *runner) reclaim(e *entry, d scheduler.Reclaim) {
	if e == nil || (e.phase != running && e.phase != stopping) {
		r.broken(d.Job, "reclaimed though it does not run")
		return
	}
	silent := false
	if e.phase == running {
		e.phase = stopping
		r.result.Reclaims++
		silent = r.result.Reclaims%silentOneIn == 0
	}
	saves := d.Checkpoint && e.Checkpoint && !silent && d.Grace >= checkpointTime
	after := min(d.Grace, stopTime)
	switch {
	case silent:
		after = d.Grace
	case saves:
		after = checkpointTime
	}
	attempt := e.attempt
	r.plan(r.now+after, func() {
		if e.attempt != attempt || e.phase != stopping {
			return
		}
		if !e.Idempotent {
			r.result.Stopped++
		}
		r.stop(e, saves)
	})
}

// stop makes a job wait again, with the progress that it has saved. A
// non-idempotent job does not run again.
func (r *runner) stop(e *entry, saves bool) {
	r.advance(e)
	e.keep(saves, r)
	elapsed := r.now - e.begun
	r.vacate(e)
	if !e.Idempotent {
		r.policy.Remove(r.at(), e.ID, scheduler.Outcome{Elapsed: elapsed})
		r.resubmit(e)
		return
	}
	r.policy.Requeue(r.at(), e.ID, scheduler.Outcome{Elapsed: elapsed})
}

// keep sets a stopped job back to its last checkpoint.
func (e *entry) keep(saves bool, r *runner) {
	progress := e.Run - e.left
	switch {
	case saves:
		e.saved = progress
	case e.Checkpoint:
		e.saved += (progress - e.saved) / checkpointEvery * checkpointEvery
	}
	lost := progress - e.saved
	e.left = e.Run - e.saved
	r.result.Lost += time.Duration(e.Shape.Workers*e.Shape.Accelerators) * lost
}

func (r *runner) throttle(e *entry, slow bool) {
	if e == nil || (e.phase != running && e.phase != stopping) {
		return
	}
	r.advance(e)
	r.drawn(e, -1)
	e.speed = 1
	if slow {
		e.speed = throttled
	}
	r.drawn(e, 1)
	if !e.doomed {
		e.timer++
		r.planEnd(e)
	}
}

// advance accounts for the progress of a running job.
func (r *runner) advance(e *entry) {
	e.left -= time.Duration(float64(r.now-e.resumed) * e.speed)
	e.resumed = r.now
}

func (r *runner) cancel(e *entry) {
	if e.phase == ended {
		return
	}
	if e.phase != waiting {
		r.vacate(e)
	}
	r.end(e, Cancelled)
	r.policy.Remove(r.at(), e.ID, scheduler.Outcome{})
}

func (r *runner) vacate(e *entry) {
	r.take(e, -1)
	e.placement, e.phase = nil, waiting
	e.attempt++
	e.timer++
}

func (r *runner) end(e *entry, outcome Ending) {
	e.phase, e.done, e.outcome = ended, r.now, outcome
	r.open--
	r.withdraw(e)
}

// withdraw takes a job from those that its account has at the policy.
func (r *runner) withdraw(e *entry) {
	r.touch(e)
	list := r.active[e.Account]
	if i := slices.Index(list, e); i >= 0 {
		r.active[e.Account] = slices.Delete(list, i, i+1)
	}
}

// lose removes workers. Jobs on them wait again.
func (r *runner) lose(ids []floor.WorkerID) {
	for _, id := range ids {
		r.machines[id].lost = true
		r.policy.RemoveWorker(id)
	}
	r.impair(1)
	for _, e := range r.entries {
		hit := slices.ContainsFunc(e.placement, func(s floor.Share) bool { return slices.Contains(ids, s.Worker) })
		if hit {
			r.stop(e, false)
		}
	}
}

func (r *runner) join(ids []floor.WorkerID) {
	for _, id := range ids {
		r.machines[id].lost = false
		r.policy.AddWorker(r.machines[id].Worker)
	}
	r.impair(-1)
}

func (r *runner) setFailing(ids []floor.WorkerID, failing bool) {
	for _, id := range ids {
		r.machines[id].failing = failing
	}
	if failing {
		r.impair(1)
		return
	}
	r.plan(r.now+probation, func() { r.impair(-1) })
}
