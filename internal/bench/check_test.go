package bench_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/bench"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

type (
	// spoiler spoils the starts of the policy that it embeds.
	spoiler struct {
		scheduler.Policy
		spoil func(floor.Placement) floor.Placement
	}
)

func (s spoiler) Decide(now time.Time) []scheduler.Decision {
	decisions := s.Policy.Decide(now)
	for i, d := range decisions {
		if start, ok := d.(scheduler.Start); ok {
			start.Placement = s.spoil(start.Placement)
			decisions[i] = start
		}
	}
	return decisions
}

func TestRunFindsIllegalStarts(t *testing.T) {
	each := func(change func(*floor.Share)) func(floor.Placement) floor.Placement {
		return func(p floor.Placement) floor.Placement {
			spoilt := append(floor.Placement(nil), p...)
			for i := range spoilt {
				change(&spoilt[i])
			}
			return spoilt
		}
	}
	tests := []struct {
		name  string
		spoil func(floor.Placement) floor.Placement
		want  string
	}{
		{"same accelerators", each(func(s *floor.Share) { s.Accelerators = 1<<s.Accelerators.Count() - 1 }), "accelerators are in use"},
		{"beyond the worker", each(func(s *floor.Share) { s.Accelerators <<= 8 }), "wrong accelerators"},
		{"part of a gang", func(p floor.Placement) floor.Placement { return p[:(len(p)+1)/2] }, "members started instead of"},
		{"one worker", func(p floor.Placement) floor.Placement { return floor.Placement{p[0], p[0], p[0]}[:len(p)] }, "has a member already"},
		{"no cores", each(func(s *floor.Share) { s.Cores = 0 }), "too few cores"},
		{"no memory", each(func(s *floor.Share) { s.Memory = 0 }), "too little memory"},
		{"unknown worker", each(func(s *floor.Share) { s.Worker = "gone" }), "lost"},
	}
	load := bench.Council()
	load.Horizon = 12 * time.Hour
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := bench.Run(load, bench.Calm, spoiler{baseline.NewBackfill(), test.spoil}, 1)
			if !strings.Contains(strings.Join(result.Broken, "\n"), test.want) {
				t.Errorf("%d findings, none with %q", len(result.Broken), test.want)
			}
		})
	}
}

func TestRunRepeats(t *testing.T) {
	for _, fault := range bench.Faults {
		load := bench.Council()
		load.Horizon = 12 * time.Hour
		first := bench.Run(load, fault, baseline.NewBackfill(), 3)
		second := bench.Run(load, fault, baseline.NewBackfill(), 3)
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with one seed differ", fault)
		}
	}
}
