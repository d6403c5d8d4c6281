// Package floor names the machines that jobs run on and the cells that they
// form: accelerators within workers, racks, data centres and regions.
package floor

import (
	"fmt"
	"strings"
)

const (
	// AdjacentWorker asks for accelerators on one worker.
	AdjacentWorker Adjacency = "worker"

	// AdjacentRack asks for workers in one rack.
	AdjacentRack Adjacency = "rack"

	// AdjacentDataCentre asks for workers in one data centre.
	AdjacentDataCentre Adjacency = "datacentre"

	// AdjacentRegion asks for workers in one region.
	AdjacentRegion Adjacency = "region"

	// MaxAccelerators is the largest number of accelerators of one worker.
	MaxAccelerators = 64
)

type (
	// WorkerID names a worker. It is unique in a region.
	WorkerID string

	// RackID names a rack. It is unique in a data centre.
	RackID string

	// DataCentreID names a data centre. It is unique in a region.
	DataCentreID string

	// RegionID names a region: the data centres that one leader schedules.
	RegionID string

	// Adjacency is the smallest cell that must hold a whole job.
	Adjacency string

	// MiB is an amount of memory in mebibytes.
	MiB int64

	// Watts is an amount of cooling.
	Watts int64

	// Accelerators is a set of accelerators of one worker. Bit i stands for the
	// accelerator with index i.
	Accelerators uint64

	// Worker is a machine that runs tasks.
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

	// Shape is what a job, or a guarantee, asks for: Workers distinct workers,
	// each with the given accelerators, cores and memory, within one cell of
	// the given adjacency.
	Shape struct {
		Workers      int       `json:"workers" cbor:"1,keyasint"`
		Accelerators int       `json:"accelerators" cbor:"2,keyasint"`
		Adjacency    Adjacency `json:"adjacency,omitempty" cbor:"3,keyasint"`
		Cores        int       `json:"cores,omitempty" cbor:"4,keyasint"`
		Memory       MiB       `json:"memory,omitempty" cbor:"5,keyasint"`
	}

	// Share is what one member of a job holds on one worker.
	Share struct {
		Worker       WorkerID     `json:"worker" cbor:"1,keyasint"`
		Accelerators Accelerators `json:"accelerators" cbor:"2,keyasint"`
		Cores        int          `json:"cores" cbor:"3,keyasint"`
		Memory       MiB          `json:"memory" cbor:"4,keyasint"`
	}

	// Placement is the shares of all members of a job, by rank.
	Placement []Share
)

// Count returns the number of accelerators in the set.
func (a Accelerators) Count() int {
	n := 0
	for ; a != 0; a &= a - 1 {
		n++
	}
	return n
}

// String lists the indices in the set.
func (a Accelerators) String() string {
	var parts []string
	for i := range MaxAccelerators {
		if a&(1<<i) != 0 {
			parts = append(parts, fmt.Sprint(i))
		}
	}
	return strings.Join(parts, ",")
}

// Normal returns the shape with absent fields at their defaults: one worker, one
// core, and the adjacency that the number of workers implies.
func (s Shape) Normal() Shape {
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

// Draw returns the cooling that a share of the worker stands for: three quarters
// go with the accelerators and one with the cores, or all with the cores if the
// worker has no accelerators.
func (w Worker) Draw(s Share) Watts {
	cores := Watts(max(1, w.Cores))
	if w.Accelerators == 0 {
		return w.Cooling * Watts(s.Cores) / cores
	}
	accelerators := Watts(w.Accelerators)
	part := 3*Watts(s.Accelerators.Count())*cores + Watts(s.Cores)*accelerators
	return w.Cooling * part / (4 * cores * accelerators)
}
