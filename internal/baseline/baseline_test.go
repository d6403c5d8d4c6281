package baseline_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

var start = time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)

func TestOrderOfStarts(t *testing.T) {
	// Two workers of a rack have four accelerators each, and one is half used
	// for an hour.
	jobs := []scheduler.Job{
		{ID: "holds", Shape: floor.Shape{Accelerators: 2}, Expected: time.Hour},
		{ID: "gang", Shape: floor.Shape{Workers: 2, Accelerators: 4, Adjacency: floor.AdjacentRack}, Expected: time.Hour},
		{ID: "long", Shape: floor.Shape{Accelerators: 2}, Expected: 2 * time.Hour},
		{ID: "short", Shape: floor.Shape{Accelerators: 2}, Expected: 30 * time.Minute},
	}
	tests := []struct {
		name   string
		policy scheduler.Policy
		want   []job.ID
	}{
		{"first fit waits behind the head", baseline.NewFirstFit(), []job.ID{"holds"}},
		{"backfill passes the head with what ends in time", baseline.NewBackfill(), []job.ID{"holds", "short"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, id := range []floor.WorkerID{"a", "b"} {
				test.policy.AddWorker(floor.Worker{ID: id, Rack: "k", Accelerators: 4, Cores: 8, Slots: 8})
			}
			for i, j := range jobs {
				j.Submitted = start.Add(time.Duration(i) * time.Second)
				if err := test.policy.Admit(start, j); err != nil {
					t.Fatal(err)
				}
			}
			decisions := test.policy.Decide(start)
			if len(decisions) != len(test.want) {
				t.Fatalf("got %v, want %v", decisions, test.want)
			}
			for i, d := range decisions {
				if got := d.(scheduler.Start).Job; got != test.want[i] {
					t.Errorf("start %d is of %s, want %s", i, got, test.want[i])
				}
			}
		})
	}
}

func TestMeanBound(t *testing.T) {
	tests := []struct {
		name string
		jobs []baseline.Demand
		want time.Duration
	}{
		{"no jobs", nil, 0},
		{"alone", []baseline.Demand{{Run: time.Hour, Accelerators: 1}}, time.Hour},
		{"two that need the whole floor", []baseline.Demand{{Run: time.Hour, Accelerators: 4}, {Run: 3 * time.Hour, Accelerators: 4}}, 150 * time.Minute},
		{"the second comes when the first has ended", []baseline.Demand{{Run: time.Hour, Accelerators: 4}, {Submitted: time.Hour, Run: time.Hour, Accelerators: 4}}, time.Hour},
	}
	for _, test := range tests {
		if got := baseline.MeanCompletionBound(test.jobs, 4); got.Round(time.Second) != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
