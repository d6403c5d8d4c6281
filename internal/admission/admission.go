// Package admission decides at a gate whether a job is accepted, from the leader's
// forecast and its age. It answers the load of callers who hand in more than the pool can
// do in the time in which it is of value to them.
//
// A job is refused only if it can't be of value any more, by a forecast that favours it. If
// anything needed to tell is missing, old or not valid, it is accepted. The package does no
// input or output and reads no clock.
package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/forecast"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// NoWorker means that no worker of the pool can hold a task of the job, or that they
	// can't hold one of its gangs together.
	NoWorker Reason = "no worker holds it"

	// NoRoom means that the pool can't do the job's work while it is of value.
	NoRoom Reason = "no room in time"
)

const (
	// MaxAge is the age up to which a forecast is used: more than two intervals of the
	// gate's queries, and less than most tasks run.
	MaxAge = time.Second

	// MinRetryAfter is the shortest wait that the answer to a caller can name.
	MinRetryAfter = time.Second

	// MaxRetryAfter bounds the wait that a refused caller is asked for. Later than this a
	// forecast says little, since workers come and go.
	MaxRetryAfter = 30 * time.Second

	// minStartChance is the chance to start on time, by a forecast that favours the job,
	// from which it is accepted whatever its forecast end, since new jobs may go before older
	// ones that are late. At 1 there may be enough for all that is on time.
	minStartChance = 1

	// maxPath bounds the run times of a job that is judged, so that no sum overflows.
	maxPath = 365 * 24 * time.Hour

	// poolShareDivisor is the divisor of a pool's room that gives the share of it by which
	// the waves of a step count towards the latency objective.
	poolShareDivisor = 4
)

type (
	// Reason says why a job was refused.
	Reason string

	// RefusedError says that a job was refused since it can't be of value any more. It is
	// not stored and does not run.
	RefusedError struct {
		Reason Reason

		// RetryAfter is when the caller may come back.
		RetryAfter time.Duration

		// Wait is when the job's work could have been done at the earliest, 0 if not known,
		// and Limit until when it would have been of value, both counted from the refusal.
		Wait, Limit time.Duration

		// Share is how long the whole pool takes for the job's work.
		Share time.Duration

		// Age is the age of the forecast.
		Age time.Duration
	}

	// Request is a job that a caller hands in.
	Request struct {
		Job   work.Job
		Queue *configuration.Queue

		// Guaranteed is the number of accelerators that are guaranteed to the job's account.
		Guaranteed int64
	}

	// Decision says whether a job is accepted: Refused is nil if so. Wait is when its work
	// can be done at the earliest, 0 if that is not known or need not be.
	Decision struct {
		Refused *RefusedError
		Wait    time.Duration
	}

	// bounds are a job's least work and its latest useful end.
	bounds struct {
		work         forecast.Amount
		task, unit   work.Resources
		objective    time.Duration
		path         time.Duration
		accelerators int64
	}
)

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: done after %v, of value for %v, by a forecast %v old",
		e.Reason, e.Wait.Round(time.Millisecond), e.Limit.Round(time.Millisecond), e.Age.Round(time.Millisecond))
}

// Check refuses a job if it can't be of value by a forecast of the given age. RetryAfter is
// when there is room for it, not rounded. Without a forecast, nil, it accepts everything.
func Check(r Request, f *forecast.Forecast, age time.Duration) Decision {
	if f == nil || age < 0 || age > MaxAge {
		return Decision{}
	}
	pool := f.Pool(r.Queue.Pool)
	if pool == nil {
		return Decision{}
	}
	if pool.ShapesKnown && !canRun(r.Job, pool) {
		return Decision{Refused: &RefusedError{Reason: NoWorker, RetryAfter: MaxRetryAfter, Age: age}}
	}
	b, ok := boundsOf(r, pool, f.RunTime(r.Queue.ID))
	if !ok || !pool.RoomKnown || r.guaranteed(b, f) {
		return Decision{}
	}
	limit := time.Duration(forecast.LateFactor) * b.objective
	demand := forecast.Demand{
		Priority: r.Queue.Priority, Account: r.Job.Account, Work: b.work, Task: b.task, Unit: b.unit,
		OnTimeUntil: age + time.Duration(float64(b.objective-b.path)/forecast.Doubt),
	}
	end, possible := pool.End(demand)
	wait := max(end-age, 0)
	if possible && wait <= limit || pool.HasFree(demand) || pool.StartChance(demand) >= minStartChance {
		return Decision{Wait: wait}
	}
	refused := &RefusedError{Reason: NoRoom, RetryAfter: MaxRetryAfter, Wait: wait, Limit: limit, Age: age}
	if possible {
		refused.RetryAfter = min(wait-limit, MaxRetryAfter)
	}
	if alone, ok := (&forecast.Pool{Room: pool.Room}).End(forecast.Demand{Work: b.work}); ok {
		refused.Share = alone
	}
	return Decision{Refused: refused, Wait: wait}
}

// guaranteed reports whether the job may be within its account's guarantee, which is served
// before all else. Jobs that are may have ended since the forecast.
func (r *Request) guaranteed(b bounds, f *forecast.Forecast) bool {
	used := int64(float64(f.Guaranteed(r.Job.Account)) / forecast.Doubt)
	return r.Queue.Priority == 0 && used+b.accelerators <= r.Guaranteed
}

// canRun reports whether the pool's workers can hold each step of a job.
func canRun(j work.Job, pool *forecast.Pool) bool {
	for i := range j.Steps {
		if !pool.CanHold(&j.Steps[i]) {
			return false
		}
	}
	return true
}

// boundsOf returns the least work of a job, by the shortest run times that are plausible,
// and its latency objective by the longest. It returns false for a job that has no end or a
// due time, or whose run times are not known.
func boundsOf(r Request, pool *forecast.Pool, usual time.Duration) (bounds, bool) {
	var b bounds
	if r.Job.Scheduled() {
		return b, false
	}
	finish := make([]time.Duration, len(r.Job.Steps))
	for i := range r.Job.Steps {
		s := &r.Job.Steps[i]
		shortest, longest := s.Estimate, max(s.Estimate, usual)
		if usual > 0 && (shortest == 0 || usual < shortest) {
			shortest = usual
		}
		if s.LongRunning || shortest <= 0 {
			return b, false
		}
		unit := forecast.Unit(s)
		if i == 0 {
			b.task, b.unit = s.Request(), unit
		}
		b.task, b.unit = smallest(b.task, s.Request()), smallest(b.unit, unit)
		tasks := forecast.AmountOf(s.Request()).Times(float64(s.Count))
		b.work = b.work.Add(tasks.Times(shortest.Seconds() / forecast.Doubt))
		b.accelerators = max(b.accelerators, int64(s.Count)*s.Need.Accelerators)
		for _, earlier := range s.After {
			finish[i] = max(finish[i], finish[earlier])
		}
		took := forecast.Doubt * waves(s, tasks, pool) * longest.Seconds()
		if took > maxPath.Seconds() {
			return b, false
		}
		finish[i] += time.Duration(took * float64(time.Second))
		b.path = max(b.path, finish[i])
	}
	objective := r.Queue.ObjectiveFactor*b.path.Seconds() + r.Queue.ObjectiveAllowance.Seconds()
	if objective <= 0 || objective > maxPath.Seconds() || b.path > maxPath {
		return b, false
	}
	b.objective = time.Duration(objective * float64(time.Second))
	return b, true
}

// smallest returns the smaller of each of two resources.
func smallest(a, b work.Resources) work.Resources {
	return work.Resources{
		Processor: min(a.Processor, b.Processor), Memory: min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// waves returns how many times the step's share of the pool must be filled to run all its
// tasks, at least 1. A gang runs in one wave.
func waves(s *work.Step, tasks forecast.Amount, pool *forecast.Pool) float64 {
	if s.Gang {
		return 1
	}
	most := 1.0
	for _, pair := range [...][2]float64{
		{tasks.Accelerators, pool.Room.Accelerators},
		{tasks.Cores, pool.Room.Cores},
	} {
		if pair[1] > 0 {
			most = max(most, math.Ceil(poolShareDivisor*pair[0]/pair[1]))
		}
	}
	return most
}
