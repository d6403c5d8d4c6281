// Package floor defines the floor of a region: the machines that jobs run on, their
// topology (accelerators within workers, racks, data centres and regions), and the
// resource requests and allocations of jobs.
package floor

import (
	"fmt"
	"strings"
)

const (
	// AdjacentWorker requires all accelerators on one worker.
	AdjacentWorker Adjacency = "worker"

	// AdjacentRack requires all workers in one rack.
	AdjacentRack Adjacency = "rack"

	// AdjacentDataCentre requires all workers in one data centre.
	AdjacentDataCentre Adjacency = "datacentre"

	// AdjacentRegion requires all workers in one region.
	AdjacentRegion Adjacency = "region"

	// MaxAccelerators is the largest number of accelerators of one worker: the
	// number of bits of Accelerators.
	MaxAccelerators = 64
)

type (
	// WorkerID identifies a worker. It is unique in a region.
	WorkerID string

	// RackID identifies a rack. It is unique in a data centre.
	RackID string

	// DataCentreID identifies a data centre. It is unique in a region.
	DataCentreID string

	// RegionID identifies a region: the data centres that one leader schedules.
	RegionID string

	// Adjacency is the topology level at which a whole job must be placed
	// together.
	Adjacency string

	// MiB is an amount of memory in mebibytes.
	MiB int64

	// Watts is a power draw in watts. A worker needs as much cooling as it draws power,
	// so cooling is measured by it, too.
	Watts int64

	// Accelerators is a set of accelerators of one worker, as a bit set. Bit i
	// stands for the accelerator with index i.
	Accelerators uint64

	// Worker is a machine that runs tasks: the capacity of an upstream VM. Slots is the
	// largest number of tasks that are reserved or run on it at a time, Cooling the
	// cooling that it uses at full load.
	Worker struct {
		ID           WorkerID     `json:"id" cbor:"1,keyasint"`
		Rack         RackID       `json:"rack" cbor:"2,keyasint"`
		DataCentre   DataCentreID `json:"datacentre" cbor:"3,keyasint"`
		Region       RegionID     `json:"region" cbor:"4,keyasint"`
		Accelerators int          `json:"accelerators" cbor:"5,keyasint"`
		Cores        int          `json:"cores" cbor:"6,keyasint"`
		Memory       MiB          `json:"memory" cbor:"7,keyasint"`
		Slots        int          `json:"slots" cbor:"8,keyasint"`
		Cooling      Watts        `json:"cooling,omitempty" cbor:"9,keyasint,omitempty"`
	}

	// Shape is the resource request of a job or a guarantee. Workers is the number
	// of distinct workers. Each must have the given accelerators, cores and memory
	// free, and all must be in one unit of the topology level Adjacency.
	Shape struct {
		Workers      int       `json:"workers" cbor:"1,keyasint"`
		Accelerators int       `json:"accelerators" cbor:"2,keyasint"`
		Adjacency    Adjacency `json:"adjacency,omitempty" cbor:"3,keyasint"`
		Cores        int       `json:"cores,omitempty" cbor:"4,keyasint"`
		Memory       MiB       `json:"memory,omitempty" cbor:"5,keyasint"`
	}

	// Allocation is the share of one worker that a member of a job gets.
	Allocation struct {
		Worker       WorkerID     `json:"worker" cbor:"1,keyasint"`
		Accelerators Accelerators `json:"accelerators" cbor:"2,keyasint"`
		Cores        int          `json:"cores" cbor:"3,keyasint"`
		Memory       MiB          `json:"memory" cbor:"4,keyasint"`
	}

	// Placement holds the shares of all members of a job, indexed by rank.
	Placement []Allocation
)

// Count returns the number of accelerators in the set.
func (a Accelerators) Count() int {
	n := 0
	for ; a != 0; a &= a - 1 {
		n++
	}
	return n
}

// String returns the indices in the set, separated by commas.
func (a Accelerators) String() string {
	var parts []string
	for i := range MaxAccelerators {
		if a&(1<<i) != 0 {
			parts = append(parts, fmt.Sprint(i))
		}
	}
	return strings.Join(parts, ",")
}

// WithDefaults returns the shape with defaults for absent fields: one worker, one core,
// and adjacency in the region. A single worker always gets AdjacentWorker.
func (s Shape) WithDefaults() Shape {
	if s.Workers == 0 {
		s.Workers = 1
	}
	if s.Cores == 0 {
		s.Cores = 1
	}
	if s.Adjacency == "" {
		s.Adjacency = AdjacentRegion
	}
	if s.Workers == 1 {
		s.Adjacency = AdjacentWorker
	}
	return s
}

// CoolingOf returns the cooling that a share of the worker uses. Three quarters of the
// worker's cooling are attributed to its accelerators and one quarter to its cores,
// or all of it to the cores if the worker has no accelerators.
func (w Worker) CoolingOf(s Allocation) Watts {
	cores := Watts(max(1, w.Cores))
	if w.Accelerators == 0 {
		return w.Cooling * Watts(s.Cores) / cores
	}
	accelerators := Watts(w.Accelerators)
	part := 3*Watts(s.Accelerators.Count())*cores + Watts(s.Cores)*accelerators
	return w.Cooling * part / (4 * cores * accelerators)
}
