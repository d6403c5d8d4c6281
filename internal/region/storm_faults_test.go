package region_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

var (
	stormSeed  = flag.Uint64("storm-seed", 1, "first seed of TestStorm")
	stormSeeds = flag.Uint64("storm-seeds", 20, "number of seeds of TestStorm")
)

// trouble has a random agent be cut off, restarted, or its runner be replaced.
func (s *storm) trouble() {
	a := s.agents[s.random.IntN(len(s.agents))]
	switch s.random.IntN(7) {
	case 0, 1:
		a.cutUntil = s.now.Add(s.between(100*time.Millisecond, 9*time.Second))
		s.log("%s: cut until %v", a.id, a.cutUntil.Sub(time.Unix(1000, 0)))
	case 2:
		a.core = nil
		s.after(s.between(10*time.Millisecond, 4*time.Second), a.restart)
	case 3:
		s.log("%s: runner replaced", a.id)
		a.runner = newStormRunner(a)
	case 4:
		a.hungUntil = s.now.Add(s.between(100*time.Millisecond, 9*time.Second))
		s.log("%s: runner hangs until %v", a.id, a.hungUntil.Sub(time.Unix(1000, 0)))
	case 5:
		s.log("%s: runner drains and leaves", a.id)
		r := a.runner
		r.description.Draining = true
		s.after(s.between(time.Second, 4*time.Second), func() {
			if a.runner != r {
				return
			}
			a.runner = newStormRunner(a)
			a.startsAt = s.now.Add(s.between(0, 10*time.Second))
			a.step(a.core, runner.Gone{ID: r.description.ID})
		})
	case 6:
		a.pausedUntil = s.now.Add(s.between(100*time.Millisecond, 4*time.Second))
		s.log("%s: process paused until %v", a.id, a.pausedUntil.Sub(time.Unix(1000, 0)))
	}
	s.after(s.between(300*time.Millisecond, 3*time.Second), s.trouble)
}

// submit stores a job now and then.
func (s *storm) submit() {
	s.jobs++
	j := gpuJob(work.JobID(fmt.Sprintf("j%03d", s.jobs)), 1+s.random.IntN(2), 4)
	switch s.random.IntN(4) {
	case 0:
		j.Steps[0].Gang = true
	case 1:
		j.OccurrenceCount, j.Interval = 2, 8*time.Second
		j.FirstDue = work.TimestampOf(s.now.Add(s.between(0, 3*time.Second)))
	}
	value, err := cbor.Marshal(region.Submission{Job: j, Pool: pool, MaxFailures: 5, ObjectiveFactor: 3})
	if err != nil {
		s.t.Fatal(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: region.JobPrefix + table.Key(j.ID), Value: value}}}
	if _, err := s.table.Commit(s.t.Context(), txn); err != nil {
		s.t.Fatal(err)
	}
	s.after(s.between(100*time.Millisecond, 2*time.Second), s.submit)
}

// TestStorm looks for runs of a task at the same time, and for starts after the task was
// done, under random changes of leader, delays, cuts, restarts and lost answers.
func TestStorm(t *testing.T) {
	for seed := *stormSeed; seed < *stormSeed+*stormSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newStorm(t, seed, 5, false)
			s.submit()
			s.trouble()
			s.run()
			t.Logf("%d jobs, %d tasks done, %d epochs", s.jobs, s.dones, s.epoch)
		})
	}
}

// TestStormOfRestarts guards against two runs at a time when a late start reaches the next incarnation of its runner.
func TestStormOfRestarts(t *testing.T) {
	seeds := []uint64{32, 42, 81, 99, 107, 139, 157, 174, 177, 210, 262, 1396}
	for seed := *stormSeed; *stormSeed > 1 && seed < *stormSeed+*stormSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newStorm(t, seed, 5, true)
			s.submit()
			s.trouble()
			s.run()
			t.Logf("%d jobs, %d tasks done, %d epochs", s.jobs, s.dones, s.epoch)
		})
	}
}
