// Package forecast says how much room a region's pools have in the near future and what
// work goes before a new job, as the leader sees it. Gates decide by it which jobs to
// accept.
//
// A forecast is favourable to a new job: it leaves out whatever may turn out not to be in
// the job's way, so that a job that has no room by it has none.
package forecast

import (
	"fmt"
	"math"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

const (
	// LateFactor is the multiple of its latency objective after which a job is of no more
	// value to its caller.
	LateFactor = 3

	// Doubt is the factor by which a run time may be shorter or longer than expected:
	// estimates of callers are off by up to a half.
	Doubt = 1.25

	// startSamples is at how many times within its doubt the end of a running task is looked
	// at.
	startSamples = 8

	// Endless is the Until of what runs until it is cancelled.
	Endless time.Duration = math.MaxInt64

	// MaxEntries bounds each list of a pool. Further work is left out, and further shapes
	// are merged.
	MaxEntries = 128

	// maxPools bounds the pools, the queues and the accounts of a forecast.
	maxPools = 10_000

	// maxAmount bounds each amount: more than any region has.
	maxAmount = 1e15
)

type (
	// Amount is an amount of accelerators and cores, or of accelerator-seconds and
	// core-seconds.
	Amount struct {
		Accelerators float64 `cbor:"1,keyasint,omitempty"`
		Cores        float64 `cbor:"2,keyasint,omitempty"`
	}

	// Shape is a number of workers with the same labels, present or recently seen. Capacity
	// is at least that of each.
	Shape struct {
		Capacity work.Resources `cbor:"1,keyasint"`
		Labels   []work.Label   `cbor:"2,keyasint,omitempty"`
		Count    int            `cbor:"3,keyasint"`
	}

	// Held is capacity that running tasks of one priority use until a time after the
	// forecast.
	Held struct {
		Priority work.Priority `cbor:"1,keyasint,omitempty"`
		Rate     Amount        `cbor:"2,keyasint"`
		Until    time.Duration `cbor:"3,keyasint,omitempty"`
	}

	// Waiting is work of one priority and account that waits for room, and that may run on
	// any worker. Task is at least what each of its tasks needs, and Unit what must start
	// together: a task, or a gang. Rate is what all of its tasks need at once. If it doesn't
	// begin until OnTimeUntil it is late, and if it doesn't until UsefulUntil it goes after
	// all other work; both count from the forecast.
	Waiting struct {
		Priority    work.Priority  `cbor:"1,keyasint,omitempty"`
		Account     work.AccountID `cbor:"2,keyasint,omitempty"`
		Work        Amount         `cbor:"3,keyasint"`
		OnTimeUntil time.Duration  `cbor:"5,keyasint,omitempty"`
		UsefulUntil time.Duration  `cbor:"6,keyasint,omitempty"`
		Task        work.Resources `cbor:"7,keyasint"`
		Unit        work.Resources `cbor:"8,keyasint"`
		Rate        Amount         `cbor:"4,keyasint"`
	}

	// Pool is the forecast of one pool. Room is the capacity of the workers that start
	// tasks. Held and Waiting are empty if no work waits.
	Pool struct {
		ID      work.PoolID `cbor:"1,keyasint"`
		Room    Amount      `cbor:"2,keyasint"`
		Shapes  []Shape     `cbor:"3,keyasint,omitempty"`
		Held    []Held      `cbor:"4,keyasint,omitempty"`
		Waiting []Waiting   `cbor:"5,keyasint,omitempty"`

		// RoomKnown says that Room may be relied on: not much of the capacity seen lately
		// is missing.
		RoomKnown bool `cbor:"6,keyasint,omitempty"`

		// ShapesKnown says that all workers of late are among Shapes.
		ShapesKnown bool `cbor:"7,keyasint,omitempty"`
	}

	// Queue says how long a task of a queue usually runs.
	Queue struct {
		ID      work.QueueID  `cbor:"1,keyasint"`
		RunTime time.Duration `cbor:"2,keyasint"`
	}

	// Account says how many accelerators of its guarantee the jobs of an account use or wait
	// for.
	Account struct {
		ID         work.AccountID `cbor:"1,keyasint"`
		Guaranteed int64          `cbor:"2,keyasint"`
	}

	// Forecast is what the leader of an epoch foresees. Age is how old it was when the
	// leader sent it.
	Forecast struct {
		Epoch    lease.Epoch   `cbor:"1,keyasint"`
		Age      time.Duration `cbor:"2,keyasint,omitempty"`
		Pools    []Pool        `cbor:"3,keyasint,omitempty"`
		Queues   []Queue       `cbor:"4,keyasint,omitempty"`
		Accounts []Account     `cbor:"5,keyasint,omitempty"`
	}

	// InvalidError names the part of a forecast that no leader can have meant.
	InvalidError struct {
		Part string
	}
)

func (e *InvalidError) Error() string {
	return "forecast not valid: " + e.Part
}

// AmountOf returns resources as an Amount.
func AmountOf(r work.Resources) Amount {
	return Amount{Accelerators: float64(r.Accelerators), Cores: float64(r.Processor) / 1000}
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.Accelerators + b.Accelerators, a.Cores + b.Cores}
}

// Times returns the amount multiplied by a factor.
func (a Amount) Times(factor float64) Amount {
	return Amount{a.Accelerators * factor, a.Cores * factor}
}

// AtMost reports whether each part of the amount is at most that of b.
func (a Amount) AtMost(b Amount) bool {
	return a.Accelerators <= b.Accelerators && a.Cores <= b.Cores
}

func (a Amount) valid() bool {
	inRange := func(x float64) bool { return x >= 0 && x <= maxAmount }
	return inRange(a.Accelerators) && inRange(a.Cores)
}

// Check returns an *InvalidError if the forecast can't be used.
func (f *Forecast) Check() error {
	if f.Age < 0 || len(f.Pools) > maxPools || max(len(f.Queues), len(f.Accounts)) > maxPools {
		return &InvalidError{"size or age"}
	}
	for i := range f.Queues {
		if f.Queues[i].RunTime < 0 {
			return &InvalidError{"queue " + string(f.Queues[i].ID)}
		}
	}
	for i := range f.Accounts {
		if f.Accounts[i].Guaranteed < 0 {
			return &InvalidError{"account " + string(f.Accounts[i].ID)}
		}
	}
	for i := range f.Pools {
		if part := f.Pools[i].invalidPart(); part != "" {
			return &InvalidError{fmt.Sprintf("%s of pool %s", part, f.Pools[i].ID)}
		}
	}
	return nil
}

// invalidPart names a part of the pool that is not valid, or returns "".
func (p *Pool) invalidPart() string {
	if !p.Room.valid() || max(len(p.Shapes), len(p.Held), len(p.Waiting)) > MaxEntries {
		return "room"
	}
	for _, s := range p.Shapes {
		if s.Count < 0 || s.Count > math.MaxInt32 || !(work.Resources{}).Fits(s.Capacity) {
			return "shape"
		}
	}
	for _, h := range p.Held {
		if !h.Rate.valid() || h.Until < 0 {
			return "held capacity"
		}
	}
	for _, w := range p.Waiting {
		if !w.Work.valid() || !w.Rate.valid() || w.OnTimeUntil < 0 || w.UsefulUntil < w.OnTimeUntil {
			return "waiting work"
		}
	}
	return ""
}

// Pool returns the forecast of a pool, or nil if there is none.
func (f *Forecast) Pool(id work.PoolID) *Pool {
	for i := range f.Pools {
		if f.Pools[i].ID == id {
			return &f.Pools[i]
		}
	}
	return nil
}

// RunTime returns how long a task of a queue usually runs, 0 if that is not known.
func (f *Forecast) RunTime(queue work.QueueID) time.Duration {
	for i := range f.Queues {
		if f.Queues[i].ID == queue {
			return f.Queues[i].RunTime
		}
	}
	return 0
}

// Guaranteed returns how much of its guarantee an account uses or waits for.
func (f *Forecast) Guaranteed(account work.AccountID) int64 {
	for i := range f.Accounts {
		if f.Accounts[i].ID == account {
			return f.Accounts[i].Guaranteed
		}
	}
	return 0
}
