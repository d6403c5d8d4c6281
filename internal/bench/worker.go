package bench

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// start starts a job as the policy decided, and schedules its end or failure.
func (sm *simulation) start(j *jobState, placement floor.Placement) {
	if reason := sm.invalidStart(j, placement); reason != "" {
		sm.recordInvalidDecision(j.ID, reason)
		return
	}
	j.phase, j.placement, j.speed = running, placement, 1
	j.attemptStart, j.progressAt = sm.now, sm.now
	j.attempt++
	j.timerID++
	if !j.started {
		j.started, j.firstStart = true, sm.now
	}
	sm.recordClaim(j)
	sm.updateUsage(j, 1)
	failedWorker := placement[0].Worker
	fails := j.AlwaysFails
	for _, allocation := range placement {
		if sm.machines[allocation.Worker].failing {
			fails, failedWorker = true, allocation.Worker
		}
	}
	if j.willFail = fails; fails {
		sm.scheduleForJob(j, failTime, func() { sm.fail(j, failedWorker) })
		return
	}
	sm.scheduleEnd(j)
}

// scheduleEnd schedules the completion of a job at its current speed.
func (sm *simulation) scheduleEnd(j *jobState) {
	sm.scheduleForJob(j, time.Duration(float64(j.remaining)/j.speed), func() {
		sm.advance(j)
		sm.release(j)
		sm.end(j, Done)
		sm.policy.Remove(sm.virtualTime(), j.ID, scheduler.Outcome{Elapsed: j.Run})
	})
}

// fail ends an attempt that failed on a worker. An idempotent job waits again,
// unless it has failed maxFailures times or the policy gives it up. A job that
// does not wait again has failed for good if it fails on every worker; otherwise
// its caller submits it anew.
func (sm *simulation) fail(j *jobState, failedWorker floor.WorkerID) {
	elapsed := sm.now - j.attemptStart
	j.failures++
	outcome := scheduler.Outcome{Failed: true, FailedOn: failedWorker, Elapsed: elapsed}
	sm.release(j)
	if j.Idempotent {
		sm.policy.Requeue(sm.virtualTime(), j.ID, outcome)
	}
	if j.Idempotent && j.failures < maxFailures && !sm.policy.Exhausted(j.ID) {
		return
	}
	sm.policy.Remove(sm.virtualTime(), j.ID, outcome)
	if j.AlwaysFails {
		sm.end(j, Failed)
		return
	}
	if j.Idempotent {
		sm.result.FailedIdempotent++
	} else {
		sm.result.FailedNonIdempotent++
	}
	sm.resubmit(j)
}

// resubmit has the caller of a job that the policy has removed submit it under a
// new ID after a while, so that all policies do the same work.
func (sm *simulation) resubmit(j *jobState) {
	sm.removeActive(j)
	j.failures, j.checkpointed, j.remaining = 0, 0, j.Run
	sm.schedule(sm.now+resubmitAfter, func() {
		j.ID += "+"
		j.Submitted = sm.virtualTime()
		sm.byID[j.ID] = j
		sm.submit(j)
	})
}

// reclaim stops a job after its checkpoint, after stopTime if it takes none, or at
// the end of the grace period if it is unresponsive. A repeated reclaim can only
// stop it sooner.
func (sm *simulation) reclaim(j *jobState, d scheduler.Reclaim) {
	if j == nil || (j.phase != running && j.phase != stopping) {
		sm.recordInvalidDecision(d.Job, "reclaimed though it does not run")
		return
	}
	unresponsive := false
	if j.phase == running {
		j.phase = stopping
		sm.result.Reclaims++
		unresponsive = sm.result.Reclaims%unresponsiveOneIn == 0
	}
	withCheckpoint := d.Checkpoint && j.Checkpoint && !unresponsive && d.Grace >= checkpointTime
	after := min(d.Grace, stopTime)
	switch {
	case unresponsive:
		after = d.Grace
	case withCheckpoint:
		after = checkpointTime
	}
	attempt := j.attempt
	sm.schedule(sm.now+after, func() {
		if j.attempt != attempt || j.phase != stopping {
			return
		}
		if !j.Idempotent {
			sm.result.ReclaimedNonIdempotent++
		}
		sm.stop(j, withCheckpoint)
	})
}

// stop makes a job wait again, from its last checkpoint. A non-idempotent job
// must not run again; its caller submits it as a new one.
func (sm *simulation) stop(j *jobState, withCheckpoint bool) {
	sm.advance(j)
	j.rollBack(withCheckpoint, sm)
	elapsed := sm.now - j.attemptStart
	sm.release(j)
	if !j.Idempotent {
		sm.policy.Remove(sm.virtualTime(), j.ID, scheduler.Outcome{Elapsed: elapsed})
		sm.resubmit(j)
		return
	}
	sm.policy.Requeue(sm.virtualTime(), j.ID, scheduler.Outcome{Elapsed: elapsed})
}

// rollBack sets a stopped job back to its last checkpoint, which is taken now if
// withCheckpoint is set.
func (j *jobState) rollBack(withCheckpoint bool, sm *simulation) {
	progress := j.Run - j.remaining
	switch {
	case withCheckpoint:
		j.checkpointed = progress
	case j.Checkpoint:
		j.checkpointed += (progress - j.checkpointed) / checkpointInterval * checkpointInterval
	}
	lost := progress - j.checkpointed
	j.remaining = j.Run - j.checkpointed
	sm.result.LostWork += time.Duration(j.Shape.Workers*j.Shape.Accelerators) * lost
}

// throttle slows a job down or lets it run at full speed again.
func (sm *simulation) throttle(j *jobState, slow bool) {
	if j == nil || (j.phase != running && j.phase != stopping) {
		return
	}
	sm.advance(j)
	sm.updateDraw(j, -1)
	j.speed = 1
	if slow {
		j.speed = throttledSpeed
	}
	sm.updateDraw(j, 1)
	if !j.willFail {
		j.timerID++
		sm.scheduleEnd(j)
	}
}

// advance updates the remaining run time of a running job.
func (sm *simulation) advance(j *jobState) {
	j.remaining -= time.Duration(float64(sm.now-j.progressAt) * j.speed)
	j.progressAt = sm.now
}

// cancel has the caller cancel a job.
func (sm *simulation) cancel(j *jobState) {
	if j.phase == ended {
		return
	}
	if j.phase != waiting {
		sm.release(j)
	}
	sm.end(j, Cancelled)
	sm.policy.Remove(sm.virtualTime(), j.ID, scheduler.Outcome{})
}

// release frees the placement of a job, and drops its scheduled events.
func (sm *simulation) release(j *jobState) {
	sm.updateUsage(j, -1)
	j.placement, j.phase = nil, waiting
	j.attempt++
	j.timerID++
}

// end records the outcome of a job, which is then no longer active.
func (sm *simulation) end(j *jobState, outcome Outcome) {
	j.phase, j.endedAt, j.outcome = ended, sm.now, outcome
	sm.openJobs--
	sm.removeActive(j)
}

// removeActive removes a job from the active jobs of its account.
func (sm *simulation) removeActive(j *jobState) {
	sm.markChanged(j)
	jobs := sm.activeJobs[j.Account]
	if i := slices.Index(jobs, j); i >= 0 {
		sm.activeJobs[j.Account] = slices.Delete(jobs, i, i+1)
	}
}

// loseWorkers removes workers from the floor, and stops the jobs on them.
func (sm *simulation) loseWorkers(ids []floor.WorkerID) {
	for _, id := range ids {
		sm.machines[id].lost = true
		sm.policy.RemoveWorker(id)
	}
	sm.changeImpairments(1)
	for _, j := range sm.jobs {
		affected := slices.ContainsFunc(j.placement, func(a floor.Allocation) bool { return slices.Contains(ids, a.Worker) })
		if affected {
			sm.stop(j, false)
		}
	}
}

// restoreWorkers adds lost workers to the floor again.
func (sm *simulation) restoreWorkers(ids []floor.WorkerID) {
	for _, id := range ids {
		sm.machines[id].lost = false
		sm.policy.AddWorker(sm.machines[id].Worker)
	}
	sm.changeImpairments(-1)
}

// setFailing makes workers fail every job that starts on them, or stops that.
// The floor counts as impaired until the policy's quarantine of the workers is
// over.
func (sm *simulation) setFailing(ids []floor.WorkerID, failing bool) {
	for _, id := range ids {
		sm.machines[id].failing = failing
	}
	if failing {
		sm.changeImpairments(1)
		return
	}
	sm.schedule(sm.now+quarantineTime, func() { sm.changeImpairments(-1) })
}
