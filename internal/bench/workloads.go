package bench

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
)

const (
	// memoryPerCore is the memory that a job requests for each core.
	memoryPerCore = 2 * gib

	// acceleratorDraw is the most power that an accelerator draws.
	acceleratorDraw floor.Watts = 400

	// rackSize is the number of workers in a rack.
	rackSize = 3

	region     floor.RegionID = "r1"
	queueLimit                = 100_000
	gib        floor.MiB      = 1024
)

type (
	// accountBuilder builds an account.
	accountBuilder account.Account

	// workloadBuilder adds accounts and their streams to a workload.
	workloadBuilder struct {
		workload *Workload
	}
)

// Agronomy returns the workload of the agronomy practice at its current size.
// Virtual days start at four in the afternoon, so their hour 13 is five in the
// morning.
func Agronomy() Workload {
	return Workload{
		Name: "agronomy", Horizon: 2 * day, Workers: currentWorkers(130, 500*gib),
		Accounts: []account.Account{
			newAccount("field", 3, 1, "soil").urgent("soil").guarantee(12, shape(1, 1, 8)).build(),
			newAccount("coops", 3, 1, "yield", "map").guarantee(1, shape(2, 8, 64)).guarantee(1, shape(1, 8, 64)).build(),
			newAccount("imagery", 3, 1, "crop").guarantee(8, shape(1, 2, 16)).build(),
			newAccount("season", 3, 1, "report", "model").guarantee(8, shape(1, 1, 8)).build(),
		},
		Streams: []Stream{
			{Account: "field", Class: "soil", Shape: shape(1, 1, 8), JobsPerDay: 2400, MeanRunTime: 45 * time.Second, RunTimeSigma: 0.5, Urgent: true, Idempotent: true},
			{Account: "coops", Class: "yield", Shape: shape(2, 8, 64), JobsPerDay: 14, MeanRunTime: 2 * time.Hour, RunTimeSigma: 0.5, Checkpoint: true, Idempotent: true, Large: true},
			{Account: "coops", Class: "map", Shape: shape(1, 8, 64), JobsPerDay: 30, MeanRunTime: 90 * time.Minute, RunTimeSigma: 0.5, Checkpoint: true, Idempotent: true},
			{Account: "imagery", Class: "crop", Shape: shape(1, 2, 16), JobsPerDay: 480, MeanRunTime: 25 * time.Minute, RunTimeSigma: 0.8, Checkpoint: true, Idempotent: true, From: 13 * time.Hour, To: 24 * time.Hour},
			{Account: "season", Class: "report", Shape: shape(1, 1, 8), JobsPerDay: 2000, Batch: 20, MeanRunTime: 12 * time.Minute, RunTimeSigma: 0.8},
			{Account: "season", Class: "model", Shape: shape(1, 4, 32), JobsPerDay: 40, MeanRunTime: time.Hour, RunTimeSigma: 0.8, Checkpoint: true, Idempotent: true},
		},
	}
}

// Council returns the workload of the council authority at its current size.
// Virtual days start at four in the afternoon: rebuilds arrive in the evening,
// checks from four in the morning until then.
func Council() Workload {
	return Workload{
		Name: "council", Horizon: 2 * day, Workers: currentWorkers(30, 64*gib),
		Accounts: []account.Account{
			newAccount("technicians", 1, 2, "check").urgent("check").guarantee(12, shape(1, 1, 3)).build(),
			newAccount("depots", 1, 3, "rebuild", "terrain").guarantee(1, shape(3, 8, 24)).guarantee(1, shape(1, 8, 24)).build(),
			newAccount("parks", 1, 2, "survey").guarantee(8, shape(1, 1, 3)).build(),
			newAccount("mapping", 1, 2, "tiles", "verge").guarantee(2, shape(1, 4, 12)).build(),
		},
		Streams: []Stream{
			{Account: "technicians", Class: "check", Shape: shape(1, 1, 3), JobsPerDay: 2000, MeanRunTime: time.Minute, RunTimeSigma: 0.5, Urgent: true, Idempotent: true, From: 12 * time.Hour, To: 24 * time.Hour},
			{Account: "depots", Class: "rebuild", Shape: shape(3, 8, 24), JobsPerDay: 5, MeanRunTime: 3 * time.Hour, RunTimeSigma: 0.4, Checkpoint: true, Idempotent: true, Large: true, From: time.Hour, To: 8 * time.Hour},
			{Account: "depots", Class: "rebuild", Shape: shape(2, 8, 24), JobsPerDay: 5, MeanRunTime: 2 * time.Hour, RunTimeSigma: 0.4, Checkpoint: true, Idempotent: true, Large: true, From: time.Hour, To: 8 * time.Hour},
			{Account: "depots", Class: "terrain", Shape: shape(1, 8, 24), JobsPerDay: 12, MeanRunTime: 2 * time.Hour, RunTimeSigma: 0.5, Checkpoint: true, Idempotent: true},
			{Account: "parks", Class: "survey", Shape: shape(1, 1, 3), JobsPerDay: 360, Batch: 20, MeanRunTime: 72 * time.Minute, RunTimeSigma: 0.7},
			{Account: "mapping", Class: "tiles", Shape: shape(1, 4, 12), JobsPerDay: 60, MeanRunTime: 96 * time.Minute, RunTimeSigma: 0.7, Checkpoint: true, Idempotent: true},
			{Account: "mapping", Class: "verge", Shape: shape(1, 2, 6), JobsPerDay: 60, MeanRunTime: 2 * time.Hour, RunTimeSigma: 0.7, Idempotent: true},
		},
	}
}

// Target returns the workload that one region has to carry in two years: 680
// workers in 8 data centres, 700 accelerators, 240 accounts, about 13,000 running
// tasks, 1,700 jobs a day that run for hours, and urgent work.
func Target(horizon time.Duration) Workload {
	w := Workload{Name: "target", Horizon: horizon, Workers: targetWorkers()}
	b := workloadBuilder{workload: &w}
	block := withAdjacency(floor.AdjacentDataCentre, shape(8, 8, 48))
	wide := withAdjacency(floor.AdjacentRegion, shape(64, 0, 2))
	half := withAdjacency(floor.AdjacentRegion, shape(32, 0, 2))
	b.add(2, newAccount("block", 1, 2, "rebuild").guarantee(1, block),
		Stream{Class: "rebuild", Shape: block, JobsPerDay: 8, MeanRunTime: 280 * time.Minute, RunTimeSigma: 0.4, Checkpoint: true, Idempotent: true, Large: true})
	b.add(4, newAccount("rack", 1, 2, "yield").guarantee(1, shape(3, 8, 48)),
		Stream{Class: "yield", Shape: shape(3, 8, 48), JobsPerDay: 20, MeanRunTime: 280 * time.Minute, RunTimeSigma: 0.5, Checkpoint: true, Idempotent: true, Large: true})
	b.add(16, newAccount("whole", 2, 1, "map").guarantee(1, shape(1, 8, 48)),
		Stream{Class: "map", Shape: shape(1, 8, 48), JobsPerDay: 120, MeanRunTime: 280 * time.Minute, RunTimeSigma: 0.6, Checkpoint: true, Idempotent: true})
	b.add(8, newAccount("desk", 3, 1, "check").urgent("check").guarantee(4, shape(1, 1, 2)),
		Stream{Class: "check", Shape: shape(1, 1, 2), JobsPerDay: 5760, MeanRunTime: time.Minute, RunTimeSigma: 0.5, Urgent: true, Idempotent: true})
	b.add(40, newAccount("tiles", 1, 1, "tile", "verge").guarantee(1, shape(1, 2, 8)),
		Stream{Class: "tile", Shape: shape(1, 4, 16), JobsPerDay: 160, MeanRunTime: 210 * time.Minute, RunTimeSigma: 0.7, Checkpoint: true, Idempotent: true},
		Stream{Class: "verge", Shape: shape(1, 2, 8), JobsPerDay: 250, MeanRunTime: 280 * time.Minute, RunTimeSigma: 0.7, Checkpoint: true, Idempotent: true})
	b.add(110, newAccount("small", 1, 1, "report").guarantee(1, shape(1, 1, 2)),
		Stream{Class: "report", Shape: shape(1, 1, 2), JobsPerDay: 520, MeanRunTime: 280 * time.Minute, RunTimeSigma: 0.7, Idempotent: true})
	b.add(60, newAccount("fleet", 1, 1, "simulate"),
		Stream{Class: "simulate", Shape: wide, JobsPerDay: 400, MeanRunTime: 9 * time.Hour, RunTimeSigma: 0.4, Checkpoint: true, Idempotent: true},
		Stream{Class: "simulate", Shape: half, JobsPerDay: 222, MeanRunTime: 11 * time.Hour, RunTimeSigma: 0.4, Checkpoint: true, Idempotent: true})
	return w
}

// add adds a number of accounts like the prototype, which share the streams
// evenly.
func (b workloadBuilder) add(count int, prototype *accountBuilder, streams ...Stream) {
	for i := range count {
		a := prototype.build()
		a.Name = account.Name(fmt.Sprintf("%s%03d", prototype.Name, i))
		b.workload.Accounts = append(b.workload.Accounts, a)
		for _, s := range streams {
			s.Account = a.Name
			s.JobsPerDay /= float64(count)
			b.workload.Streams = append(b.workload.Streams, s)
		}
	}
}

// newAccount returns a builder of an account with the given weights and order of
// classes.
func newAccount(name account.Name, completion, fragmentation float64, order ...account.Class) *accountBuilder {
	return &accountBuilder{Name: name, Region: region, Parameters: account.Parameters{
		QueueLimit: queueLimit,
		Order:      order,
		Weights:    account.Weights{Completion: completion, Fragmentation: fragmentation},
	}}
}

// guarantee adds a guarantee of a number of shapes.
func (b *accountBuilder) guarantee(count int, s floor.Shape) *accountBuilder {
	b.Parameters.Guarantees = append(b.Parameters.Guarantees, account.Guarantee{Shape: s, Count: count})
	return b
}

// urgent sets the classes of urgent work.
func (b *accountBuilder) urgent(classes ...account.Class) *accountBuilder {
	b.Parameters.Urgent = classes
	return b
}

func (b *accountBuilder) build() account.Account {
	return account.Account(*b)
}

// shape returns a shape whose members have to be in one rack. The resources are
// those of each member.
func shape(workers, accelerators, cores int) floor.Shape {
	s := floor.Shape{
		Workers: workers, Accelerators: accelerators, Adjacency: floor.AdjacentRack,
		Cores: cores, Memory: memoryPerCore * floor.MiB(cores),
	}
	return s.WithDefaults()
}

// withAdjacency returns the shape with another adjacency.
func withAdjacency(adjacency floor.Adjacency, s floor.Shape) floor.Shape {
	s.Adjacency = adjacency
	return s
}

// currentWorkers returns 11 workers with 8 accelerators each, three to a rack, in four
// data centres.
func currentWorkers(cores int, memory floor.MiB) []floor.Worker {
	var workers []floor.Worker
	for i := range 11 {
		workers = append(workers, newWorker(i/rackSize, i, 8, cores, memory, 8))
	}
	return workers
}

// targetWorkers returns 85 workers in each of 8 data centres. Ten of each 85 have
// 8 accelerators, seven or eight have one, and the others have none.
func targetWorkers() []floor.Worker {
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
