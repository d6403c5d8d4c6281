package bench

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// perCore is the memory that a job asks for with each core.
	perCore = 2 * gib

	// acceleratorDraw is the most that an accelerator draws.
	acceleratorDraw floor.Watts = 400

	// rackSize is the number of workers in a rack.
	rackSize = 3

	region     floor.RegionID = "r1"
	queueLimit                = 100_000
	gib        floor.MiB      = 1024
)

type (
	// tenant makes an account.
	tenant account.Account

	// tenants are the accounts of a workload with their streams.
	tenants struct {
		load *Workload
	}
)

// Agronomy returns the agronomy practice of today. Virtual time starts at four
// in the afternoon.
func Agronomy() Workload {
	return Workload{
		Name: "agronomy", Horizon: 2 * day, Workers: today(130, 500*gib),
		Accounts: []account.Account{
			newTenant("field", 3, 1, "soil").urgent("soil").promise(12, shape(1, 1, 8)).account(),
			newTenant("coops", 3, 1, "yield", "map").promise(1, shape(2, 8, 64)).promise(1, shape(1, 8, 64)).account(),
			newTenant("imagery", 3, 1, "crop").promise(8, shape(1, 2, 16)).account(),
			newTenant("season", 3, 1, "report", "model").promise(8, shape(1, 1, 8)).account(),
		},
		Streams: []Stream{
			{Account: "field", Class: "soil", Shape: shape(1, 1, 8), Daily: 2400, Mean: 45 * time.Second, Spread: 0.5, Urgent: true, Idempotent: true},
			{Account: "coops", Class: "yield", Shape: shape(2, 8, 64), Daily: 14, Mean: 2 * time.Hour, Spread: 0.5, Checkpoint: true, Idempotent: true, Large: true},
			{Account: "coops", Class: "map", Shape: shape(1, 8, 64), Daily: 30, Mean: 90 * time.Minute, Spread: 0.5, Checkpoint: true, Idempotent: true},
			{Account: "imagery", Class: "crop", Shape: shape(1, 2, 16), Daily: 480, Mean: 25 * time.Minute, Spread: 0.8, Checkpoint: true, Idempotent: true, From: 13 * time.Hour, To: 24 * time.Hour},
			{Account: "season", Class: "report", Shape: shape(1, 1, 8), Daily: 2000, Batch: 20, Mean: 12 * time.Minute, Spread: 0.8},
			{Account: "season", Class: "model", Shape: shape(1, 4, 32), Daily: 40, Mean: time.Hour, Spread: 0.8, Checkpoint: true, Idempotent: true},
		},
	}
}

// Council returns the council authority of today. Virtual time starts at four in
// the afternoon: rebuilds come in the evening, checks from four in the morning.
func Council() Workload {
	return Workload{
		Name: "council", Horizon: 2 * day, Workers: today(30, 64*gib),
		Accounts: []account.Account{
			newTenant("technicians", 1, 2, "check").urgent("check").promise(12, shape(1, 1, 3)).account(),
			newTenant("depots", 1, 3, "rebuild", "terrain").promise(1, shape(3, 8, 24)).promise(1, shape(1, 8, 24)).account(),
			newTenant("parks", 1, 2, "survey").promise(8, shape(1, 1, 3)).account(),
			newTenant("mapping", 1, 2, "tiles", "verge").promise(2, shape(1, 4, 12)).account(),
		},
		Streams: []Stream{
			{Account: "technicians", Class: "check", Shape: shape(1, 1, 3), Daily: 2000, Mean: time.Minute, Spread: 0.5, Urgent: true, Idempotent: true, From: 12 * time.Hour, To: 24 * time.Hour},
			{Account: "depots", Class: "rebuild", Shape: shape(3, 8, 24), Daily: 5, Mean: 3 * time.Hour, Spread: 0.4, Checkpoint: true, Idempotent: true, Large: true, From: time.Hour, To: 8 * time.Hour},
			{Account: "depots", Class: "rebuild", Shape: shape(2, 8, 24), Daily: 5, Mean: 2 * time.Hour, Spread: 0.4, Checkpoint: true, Idempotent: true, Large: true, From: time.Hour, To: 8 * time.Hour},
			{Account: "depots", Class: "terrain", Shape: shape(1, 8, 24), Daily: 12, Mean: 2 * time.Hour, Spread: 0.5, Checkpoint: true, Idempotent: true},
			{Account: "parks", Class: "survey", Shape: shape(1, 1, 3), Daily: 360, Batch: 20, Mean: 72 * time.Minute, Spread: 0.7},
			{Account: "mapping", Class: "tiles", Shape: shape(1, 4, 12), Daily: 60, Mean: 96 * time.Minute, Spread: 0.7, Checkpoint: true, Idempotent: true},
			{Account: "mapping", Class: "verge", Shape: shape(1, 2, 6), Daily: 60, Mean: 2 * time.Hour, Spread: 0.7, Idempotent: true},
		},
	}
}

// Target returns the size that the system has to carry in two years, held by
// one region: 680 workers in 8 data centres, 700 accelerators, 240 accounts,
// about 13,000 tasks running, 1,700 jobs of hours a day, and urgent work.
func Target(horizon time.Duration) Workload {
	w := Workload{Name: "target", Horizon: horizon, Workers: tower()}
	t := tenants{load: &w}
	block := in(floor.AdjacentDataCentre, shape(8, 8, 48))
	wide := in(floor.AdjacentRegion, shape(64, 0, 2))
	half := in(floor.AdjacentRegion, shape(32, 0, 2))
	t.add(2, newTenant("block", 1, 2, "rebuild").promise(1, block),
		Stream{Class: "rebuild", Shape: block, Daily: 8, Mean: 280 * time.Minute, Spread: 0.4, Checkpoint: true, Idempotent: true, Large: true})
	t.add(4, newTenant("rack", 1, 2, "yield").promise(1, shape(3, 8, 48)),
		Stream{Class: "yield", Shape: shape(3, 8, 48), Daily: 20, Mean: 280 * time.Minute, Spread: 0.5, Checkpoint: true, Idempotent: true, Large: true})
	t.add(16, newTenant("whole", 2, 1, "map").promise(1, shape(1, 8, 48)),
		Stream{Class: "map", Shape: shape(1, 8, 48), Daily: 120, Mean: 280 * time.Minute, Spread: 0.6, Checkpoint: true, Idempotent: true})
	t.add(8, newTenant("desk", 3, 1, "check").urgent("check").promise(4, shape(1, 1, 2)),
		Stream{Class: "check", Shape: shape(1, 1, 2), Daily: 5760, Mean: time.Minute, Spread: 0.5, Urgent: true, Idempotent: true})
	t.add(40, newTenant("tiles", 1, 1, "tile", "verge").promise(1, shape(1, 2, 8)),
		Stream{Class: "tile", Shape: shape(1, 4, 16), Daily: 160, Mean: 210 * time.Minute, Spread: 0.7, Checkpoint: true, Idempotent: true},
		Stream{Class: "verge", Shape: shape(1, 2, 8), Daily: 250, Mean: 280 * time.Minute, Spread: 0.7, Checkpoint: true, Idempotent: true})
	t.add(110, newTenant("small", 1, 1, "report").promise(1, shape(1, 1, 2)),
		Stream{Class: "report", Shape: shape(1, 1, 2), Daily: 520, Mean: 280 * time.Minute, Spread: 0.7, Idempotent: true})
	t.add(60, newTenant("fleet", 1, 1, "simulate"),
		Stream{Class: "simulate", Shape: wide, Daily: 400, Mean: 9 * time.Hour, Spread: 0.4, Checkpoint: true, Idempotent: true},
		Stream{Class: "simulate", Shape: half, Daily: 222, Mean: 11 * time.Hour, Spread: 0.4, Checkpoint: true, Idempotent: true})
	return w
}

// add makes a number of like accounts that share the streams evenly.
func (t tenants) add(count int, like *tenant, streams ...Stream) {
	for i := range count {
		a := like.account()
		a.Name = account.Name(fmt.Sprintf("%s%03d", like.Name, i))
		t.load.Accounts = append(t.load.Accounts, a)
		for _, s := range streams {
			s.Account = a.Name
			s.Daily /= float64(count)
			t.load.Streams = append(t.load.Streams, s)
		}
	}
}

func newTenant(name account.Name, completion, fragmentation float64, order ...account.Class) *tenant {
	return &tenant{Name: name, Region: region, Parameters: account.Parameters{
		QueueLimit: queueLimit,
		Order:      order,
		Weights:    account.Weights{Completion: completion, Fragmentation: fragmentation},
	}}
}

func (t *tenant) promise(count int, s floor.Shape) *tenant {
	t.Parameters.Guarantees = append(t.Parameters.Guarantees, account.Guarantee{Shape: s, Count: count})
	return t
}

func (t *tenant) urgent(classes ...account.Class) *tenant {
	t.Parameters.Urgent = classes
	return t
}

func (t *tenant) account() account.Account {
	return account.Account(*t)
}

// shape returns a shape that must be in one rack.
func shape(workers, accelerators, cores int) floor.Shape {
	s := floor.Shape{
		Workers: workers, Accelerators: accelerators, Adjacency: floor.AdjacentRack,
		Cores: cores, Memory: perCore * floor.MiB(cores),
	}
	return s.Normal()
}

// in returns the shape with another adjacency.
func in(adjacency floor.Adjacency, s floor.Shape) floor.Shape {
	s.Adjacency = adjacency
	return s
}

// today returns 11 workers with 8 accelerators each, three to a rack, in four
// data centres.
func today(cores int, memory floor.MiB) []floor.Worker {
	var workers []floor.Worker
	for i := range 11 {
		workers = append(workers, newWorker(i/rackSize, i, 8, cores, memory, 8))
	}
	return workers
}

// tower returns 85 workers in each of 8 data centres. Ten of them have 8
// accelerators, and seven or eight have one.
func tower() []floor.Worker {
	var workers []floor.Worker
	for i := range 680 {
		centre, within := i/85, i%85
		accelerators := 0
		switch {
		case within < 10:
			accelerators = 8
		case within < 17, within == 17 && centre%2 == 0:
			accelerators = 1
		}
		workers = append(workers, newWorker(centre, within, accelerators, 64, 256*gib, 24))
	}
	return workers
}

// newWorker returns a worker with the given index in its data centre.
func newWorker(centre, index, accelerators, cores int, memory floor.MiB, slots int) floor.Worker {
	return floor.Worker{
		ID:           floor.WorkerID(fmt.Sprintf("w%d-%03d", centre, index)),
		Rack:         floor.RackID(fmt.Sprintf("k%02d", index/rackSize)),
		DataCentre:   floor.DataCentreID(fmt.Sprintf("d%d", centre)),
		Region:       region,
		Accelerators: accelerators,
		Cores:        cores,
		Memory:       memory,
		Slots:        slots,
		Cooling:      floor.Watts(accelerators) * acceleratorDraw,
	}
}
