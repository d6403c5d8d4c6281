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

	// maxStretch bounds a run time against the mean of its stream.
	maxStretch = 4
)

type (
	// Stream is the work of one class of an account.
	Stream struct {
		Account    account.Name
		Class      account.Class
		Shape      floor.Shape
		Daily      float64
		Batch      int
		Mean       time.Duration
		Spread     float64
		Checkpoint bool
		Idempotent bool
		Urgent     bool
		Large      bool
		From, To   time.Duration
	}

	// Workload is a floor, its accounts and their work.
	Workload struct {
		Name     string
		Horizon  time.Duration
		Workers  []floor.Worker
		Accounts []account.Account
		Streams  []Stream
	}

	// Task is a job with what a policy does not know of it. Cancel is the time
	// at which its caller gives up, or zero. Uncounted jobs stay out of the
	// figures: they fill the floor at the start, are cancelled or cannot end.
	Task struct {
		scheduler.Job
		At        time.Duration
		Run       time.Duration
		Cancel    time.Duration
		Urgent    bool
		Large     bool
		Poison    bool
		Never     bool
		Uncounted bool
	}

	// generator draws the jobs of a workload.
	generator struct {
		load  Workload
		rng   *rand.Rand
		tasks []Task
	}
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

// Tasks returns the jobs of the workload in the order of their arrival, without
// faults. Declared run times are off by up to about two.
func (w Workload) Tasks(seed uint64) []Task {
	g := generator{load: w, rng: rand.New(rand.NewPCG(seed, 4))}
	for _, s := range w.Streams {
		g.warm(s)
		g.stream(s)
	}
	g.impossible()
	return g.numbered()
}

// Load returns the accelerator time asked for within the horizon as a share of
// what the floor has. Jobs count in the ratio in which they are drawn.
func (w Workload) Load() float64 {
	asked := 0.0
	for _, s := range w.Streams {
		asked += s.Daily * s.Mean.Seconds() * float64(s.Shape.Workers*s.Shape.Accelerators)
	}
	return asked / (day.Seconds() * float64(w.Accelerators()))
}

// Accelerators returns the number of accelerators on the floor.
func (w Workload) Accelerators() int {
	n := 0
	for _, worker := range w.Workers {
		n += worker.Accelerators
	}
	return n
}

// warm adds the jobs that run when virtual time starts, with what is left of
// their run times.
func (g *generator) warm(s Stream) {
	if s.From > 0 || s.Mean < 10*time.Minute {
		return
	}
	expected := s.Daily * s.Mean.Seconds() / s.window().Seconds()
	for range int(expected + g.rng.Float64()) {
		t := g.task(s, 0)
		t.Run = time.Duration(float64(t.Run) * g.rng.Float64())
		t.Uncounted = true
		g.tasks = append(g.tasks, t)
	}
}

// stream adds the arrivals of a stream, a Poisson process within the window of
// each day.
func (g *generator) stream(s Stream) {
	gap := s.window().Seconds() * float64(max(s.Batch, 1)) / s.Daily
	at := 0.0
	for {
		at += g.rng.ExpFloat64() * gap
		days, within := math.Modf(at / s.window().Seconds())
		arrival := time.Duration(days)*day + s.From + time.Duration(within*float64(s.window()))
		if arrival >= g.load.Horizon {
			return
		}
		for range max(s.Batch, 1) {
			g.tasks = append(g.tasks, g.task(s, arrival))
		}
	}
}

// task draws a job of a stream.
func (g *generator) task(s Stream, at time.Duration) Task {
	stretch := math.Exp(g.rng.NormFloat64()*s.Spread - s.Spread*s.Spread/2)
	run := time.Duration(min(stretch, maxStretch) * float64(s.Mean)).Round(time.Millisecond)
	off := math.Exp2(2*g.rng.Float64() - 1)
	return Task{
		Job: scheduler.Job{
			Account: s.Account, Class: s.Class, Shape: s.Shape.Normal(),
			Checkpoint: s.Checkpoint, Idempotent: s.Idempotent,
			Expected: time.Duration(float64(run) * off).Round(time.Second),
		},
		At: at, Run: max(run, time.Second), Urgent: s.Urgent, Large: s.Large,
	}
}

// impossible adds jobs that no floor of the workload can run.
func (g *generator) impossible() {
	for i := range 3 {
		s := g.load.Streams[i%len(g.load.Streams)]
		s.Shape.Accelerators = floor.MaxAccelerators
		t := g.task(s, g.load.Horizon/4*time.Duration(i+1))
		t.Never, t.Uncounted = true, true
		g.tasks = append(g.tasks, t)
	}
}

// numbered sorts the jobs by arrival and names them.
func (g *generator) numbered() []Task {
	slices.SortStableFunc(g.tasks, func(x, y Task) int { return cmp.Compare(x.At, y.At) })
	for i := range g.tasks {
		t := &g.tasks[i]
		t.ID = job.ID(fmt.Sprintf("j%06d", i))
		t.Submitted = epoch.Add(t.At)
	}
	return g.tasks
}

// window returns the time of a day in which the jobs of the stream arrive.
func (s Stream) window() time.Duration {
	if s.To > s.From {
		return s.To - s.From
	}
	return day
}
