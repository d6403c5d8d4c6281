package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

const (
	day = 24 * time.Hour

	// maxRunFactor is the longest run time as a multiple of the mean of its
	// stream.
	maxRunFactor = 4
)

type (
	// Stream describes the arrivals of the jobs of one class and shape.
	// JobsPerDay is the number of jobs a day, Batch how many arrive together.
	// MeanRunTime is the mean run time, RunTimeSigma the standard deviation of its
	// logarithm. Jobs arrive between From and To of each virtual day, or all day if
	// both are zero. The figures of Large and of Urgent jobs are also measured on their
	// own.
	Stream struct {
		Account      account.Name
		Class        account.Class
		Shape        floor.Shape
		JobsPerDay   float64
		Batch        int
		MeanRunTime  time.Duration
		RunTimeSigma float64
		Checkpoint   bool
		Idempotent   bool
		Urgent       bool
		Large        bool
		From, To     time.Duration
	}

	// Workload is a floor, its accounts and the jobs that arrive until the
	// horizon.
	Workload struct {
		Name     string
		Horizon  time.Duration
		Workers  []floor.Worker
		Accounts []account.Account
		Streams  []Stream
	}

	// SimulatedJob is a job with what the policy does not know of it. Arrival is the
	// time of its arrival, Run its real run time, Cancel the time at which its caller
	// cancels it, or zero. A job with AlwaysFails set fails on every worker, an
	// Infeasible one does not fit even on the empty floor. Unmeasured jobs stay out of
	// the figures: those that fill the floor at the start, are cancelled or cannot
	// complete.
	SimulatedJob struct {
		scheduler.Job
		Arrival     time.Duration
		Run         time.Duration
		Cancel      time.Duration
		Urgent      bool
		Large       bool
		AlwaysFails bool
		Infeasible  bool
		Unmeasured  bool
	}

	// generator generates the jobs of a workload at random.
	generator struct {
		workload Workload
		rng      *rand.Rand
		jobs     []SimulatedJob
	}
)

// virtualStart is the start of virtual time.
var virtualStart = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// Jobs returns the jobs of the workload in the order of their arrival, without
// faults. Declared run times are between half and twice the real ones.
func (w Workload) Jobs(seed uint64) []SimulatedJob {
	g := generator{workload: w, rng: rand.New(rand.NewPCG(seed, 4))}
	for _, s := range w.Streams {
		g.addInitial(s)
		g.addArrivals(s)
	}
	g.addInfeasible()
	return g.sortAndNumber()
}

// OfferedLoad returns the accelerator time that the jobs of a day need on average, as a
// share of what the floor has.
func (w Workload) OfferedLoad() float64 {
	demand := 0.0
	for _, s := range w.Streams {
		demand += s.JobsPerDay * s.MeanRunTime.Seconds() * float64(s.Shape.Workers*s.Shape.Accelerators)
	}
	return demand / (day.Seconds() * float64(w.Accelerators()))
}

// Accelerators returns the number of accelerators on the floor.
func (w Workload) Accelerators() int {
	n := 0
	for _, worker := range w.Workers {
		n += worker.Accelerators
	}
	return n
}

// addInitial adds the jobs of a stream that would be running when virtual time
// starts, with a random part of their run times left. It adds none for streams
// that start later in the day, or whose jobs run for less than ten minutes.
func (g *generator) addInitial(s Stream) {
	if s.From > 0 || s.MeanRunTime < 10*time.Minute {
		return
	}
	expected := s.JobsPerDay * s.MeanRunTime.Seconds() / s.dailyWindow().Seconds()
	for range int(expected + g.rng.Float64()) {
		j := g.newJob(s, 0)
		j.Run = time.Duration(float64(j.Run) * g.rng.Float64())
		j.Unmeasured = true
		g.jobs = append(g.jobs, j)
	}
}

// addArrivals adds the jobs of a stream. They arrive as a Poisson process within
// the stream's window of each day.
func (g *generator) addArrivals(s Stream) {
	meanGap := s.dailyWindow().Seconds() * float64(max(s.Batch, 1)) / s.JobsPerDay
	elapsed := 0.0
	for {
		elapsed += g.rng.ExpFloat64() * meanGap
		days, within := math.Modf(elapsed / s.dailyWindow().Seconds())
		arrival := time.Duration(days)*day + s.From + time.Duration(within*float64(s.dailyWindow()))
		if arrival >= g.workload.Horizon {
			return
		}
		for range max(s.Batch, 1) {
			g.jobs = append(g.jobs, g.newJob(s, arrival))
		}
	}
}

// newJob returns a job of a stream with a random run time (log-normal, at most
// maxRunFactor times the mean).
func (g *generator) newJob(s Stream, at time.Duration) SimulatedJob {
	runFactor := math.Exp(g.rng.NormFloat64()*s.RunTimeSigma - s.RunTimeSigma*s.RunTimeSigma/2)
	run := time.Duration(min(runFactor, maxRunFactor) * float64(s.MeanRunTime)).Round(time.Millisecond)
	estimateFactor := math.Exp2(2*g.rng.Float64() - 1)
	return SimulatedJob{
		Job: scheduler.Job{
			Account: s.Account, Class: s.Class, Shape: s.Shape.WithDefaults(),
			Checkpoint: s.Checkpoint, Idempotent: s.Idempotent,
			Expected: time.Duration(float64(run) * estimateFactor).Round(time.Second),
		},
		Arrival: at, Run: max(run, time.Second), Urgent: s.Urgent, Large: s.Large,
	}
}

// addInfeasible adds jobs that need more accelerators on one worker than any
// worker has.
func (g *generator) addInfeasible() {
	for i := range 3 {
		s := g.workload.Streams[i%len(g.workload.Streams)]
		s.Shape.Accelerators = floor.MaxAccelerators
		j := g.newJob(s, g.workload.Horizon/4*time.Duration(i+1))
		j.Infeasible, j.Unmeasured = true, true
		g.jobs = append(g.jobs, j)
	}
}

// sortAndNumber sorts the jobs by arrival and sets their IDs and submission
// times.
func (g *generator) sortAndNumber() []SimulatedJob {
	slices.SortStableFunc(g.jobs, func(x, y SimulatedJob) int { return cmp.Compare(x.Arrival, y.Arrival) })
	for i := range g.jobs {
		j := &g.jobs[i]
		j.ID = job.ID(fmt.Sprintf("j%06d", i))
		j.Submitted = virtualStart.Add(j.Arrival)
	}
	return g.jobs
}

// dailyWindow returns the length of the time of day in which the jobs of the
// stream arrive.
func (s Stream) dailyWindow() time.Duration {
	if s.To > s.From {
		return s.To - s.From
	}
	return day
}
