package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type (
	// Detector follows the members of a group that are spread over cells.
	Detector[ID cmp.Ordered, Cell comparable] struct {
		config  Config
		members map[ID]*member[Cell]
		cut     map[Cell]time.Time
		changes []Change[ID]
	}

	member[Cell comparable] struct {
		cell     Cell
		state    State
		cause    Cause
		admitted bool
		deaf     bool
		heard    time.Time
		flaps    float64
		counted  time.Time
		held     bool
	}
)

// NewDetector returns a detector without members.
func NewDetector[ID cmp.Ordered, Cell comparable](options ...Option) *Detector[ID, Cell] {
	config := Config{
		Interval: DefaultInterval,
		Probes:   DefaultProbes,
		Hold:     DefaultHold,
		MinCell:  DefaultMinCell,
		Flaps:    DefaultFlaps,
		Quiet:    DefaultQuiet,
	}
	for _, option := range options {
		option(&config)
	}
	return &Detector[ID, Cell]{
		config:  config,
		members: make(map[ID]*member[Cell]),
		cut:     make(map[Cell]time.Time),
	}
}

// Config returns the times and bounds of the detector.
func (d *Detector[ID, Cell]) Config() Config {
	return d.config
}

// SetInterval sets the time between two reports from now on.
func (d *Detector[ID, Cell]) SetInterval(interval time.Duration) {
	d.config.Interval = interval
}

// Join takes note that a member, or another life of it, has announced itself in
// a cell. It is not alive before Admit.
func (d *Detector[ID, Cell]) Join(now time.Time, id ID, cell Cell) {
	m, ok := d.members[id]
	if !ok {
		m = &member[Cell]{counted: now}
		d.members[id] = m
	}
	m.cell, m.heard, m.admitted, m.deaf = cell, now, false, false
	if m.state == Suspect || m.state == Dead {
		d.flap(now, m)
	}
	d.change(id, m, Joining, NoCause)
}

// Admit takes a member that has joined for alive.
func (d *Detector[ID, Cell]) Admit(now time.Time, id ID) {
	if m, ok := d.members[id]; ok {
		m.admitted = true
		d.Heard(now, id, Report{Deaf: m.deaf, Leaving: m.state == Leaving})
	}
}

// Heard takes a report of a member.
func (d *Detector[ID, Cell]) Heard(now time.Time, id ID, report Report) {
	m, ok := d.members[id]
	if !ok || m.state == Dead {
		return
	}
	m.heard = now
	m.deaf = report.Deaf
	switch {
	case report.Leaving:
		d.change(id, m, Leaving, NoCause)
	case !m.admitted:
	case report.Deaf:
		d.change(id, m, Suspect, Deaf)
	default:
		if m.state == Suspect {
			d.flap(now, m)
		}
		d.change(id, m, Alive, NoCause)
	}
}

// Remove forgets a member.
func (d *Detector[ID, Cell]) Remove(id ID) {
	delete(d.members, id)
}

// State returns the state of a member and its cause.
func (d *Detector[ID, Cell]) State(id ID) (State, Cause) {
	if m, ok := d.members[id]; ok {
		return m.state, m.cause
	}
	return Unknown, NoCause
}

// Usable reports whether a member may get new work: it is alive and not held
// down.
func (d *Detector[ID, Cell]) Usable(id ID) bool {
	m, ok := d.members[id]
	return ok && m.state == Alive && !m.held
}

// Tick finds out who is silent, and returns all changes since the last call in
// the order in which they came.
func (d *Detector[ID, Cell]) Tick(now time.Time) []Change[ID] {
	d.findCut(now)
	for _, id := range d.list() {
		m := d.members[id]
		d.release(now, m)
		d.watch(now, id, m)
	}
	changes := d.changes
	d.changes = nil
	return changes
}

// Probes returns the members that are to be asked for a report, in order.
func (d *Detector[ID, Cell]) Probes() []ID {
	var ids []ID
	for _, id := range d.list() {
		if m := d.members[id]; m.state == Suspect {
			ids = append(ids, id)
		}
	}
	return ids
}

func (d *Detector[ID, Cell]) watch(now time.Time, id ID, m *member[Cell]) {
	silence := now.Sub(m.heard)
	if m.state == Dead || silence < d.config.SuspectAfter() {
		return
	}
	since, cut := d.cut[m.cell]
	switch {
	case cut && now.Sub(since) < d.config.Hold:
		d.suspect(id, m, CutOff)
	case silence >= d.config.DeadAfter():
		d.change(id, m, Dead, Silent)
	default:
		d.suspect(id, m, Silent)
	}
}

// suspect suspects a member. A member that leaves gets no new work anyway.
func (d *Detector[ID, Cell]) suspect(id ID, m *member[Cell], cause Cause) {
	if m.state != Leaving {
		d.change(id, m, Suspect, cause)
	}
}

// findCut finds the cells of which most members are silent. One that stays
// silent longer than the hold is no longer taken for cut off.
func (d *Detector[ID, Cell]) findCut(now time.Time) {
	all, silent := make(map[Cell]int), make(map[Cell]int)
	for _, m := range d.members {
		if m.state == Dead {
			continue
		}
		all[m.cell]++
		if now.Sub(m.heard) >= d.config.SuspectAfter() {
			silent[m.cell]++
		}
	}
	for cell, count := range all {
		_, known := d.cut[cell]
		if silent[cell] < d.config.MinCell || 2*silent[cell] <= count {
			delete(d.cut, cell)
		} else if !known {
			d.cut[cell] = now
		}
	}
}

func (d *Detector[ID, Cell]) change(id ID, m *member[Cell], to State, cause Cause) {
	if m.state == to && m.cause == cause {
		return
	}
	d.changes = append(d.changes, Change[ID]{ID: id, From: m.state, To: to, Cause: cause})
	m.state, m.cause = to, cause
}

// flap counts a return.
func (d *Detector[ID, Cell]) flap(now time.Time, m *member[Cell]) {
	d.decay(now, m)
	m.flaps++
	if m.flaps >= d.config.Flaps {
		m.held = true
	}
}

func (d *Detector[ID, Cell]) release(now time.Time, m *member[Cell]) {
	if d.decay(now, m); m.flaps < releaseFlaps {
		m.held = false
	}
}

func (d *Detector[ID, Cell]) decay(now time.Time, m *member[Cell]) {
	elapsed := now.Sub(m.counted).Seconds() / d.config.Quiet.Seconds()
	m.flaps *= math.Exp2(-elapsed)
	m.counted = now
}

func (d *Detector[ID, Cell]) list() []ID {
	ids := make([]ID, 0, len(d.members))
	for id := range d.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
