package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type (
	// Detector tracks the states of the members of a group. ID identifies a
	// member, Domain a failure domain. It is not safe for concurrent use.
	Detector[ID cmp.Ordered, Domain comparable] struct {
		config      Config
		members     map[ID]*member[Domain]
		partitioned map[Domain]time.Time
		changes     []Change[ID]
	}

	member[Domain comparable] struct {
		domain            Domain
		state             State
		cause             Cause
		admitted          bool
		ownerUnresponsive bool
		lastReport        time.Time
		flaps             float64
		decayedAt         time.Time
		suppressed        bool
	}
)

// NewDetector returns a detector without members.
func NewDetector[ID cmp.Ordered, Domain comparable](options ...Option) *Detector[ID, Domain] {
	config := Config{
		Interval:      DefaultInterval,
		Probes:        DefaultProbes,
		PartitionHold: DefaultPartitionHold,
		MinPartition:  DefaultMinPartition,
		Flaps:         DefaultFlaps,
		FlapHalfLife:  DefaultFlapHalfLife,
	}
	for _, option := range options {
		option(&config)
	}
	return &Detector[ID, Domain]{
		config:      config,
		members:     make(map[ID]*member[Domain]),
		partitioned: make(map[Domain]time.Time),
	}
}

// Config returns the settings of the detector.
func (d *Detector[ID, Domain]) Config() Config {
	return d.config
}

// SetInterval changes the time between two reports of a member.
func (d *Detector[ID, Domain]) SetInterval(interval time.Duration) {
	d.config.Interval = interval
}

// Join adds a member, or a new incarnation of one, in a failure domain. The member
// is not alive until Admit.
func (d *Detector[ID, Domain]) Join(now time.Time, id ID, domain Domain) {
	m, ok := d.members[id]
	if !ok {
		m = &member[Domain]{decayedAt: now}
		d.members[id] = m
	}
	m.domain, m.lastReport, m.admitted, m.ownerUnresponsive = domain, now, false, false
	if m.state == Suspect || m.state == Dead {
		d.countFlap(now, m)
	}
	d.setState(id, m, Joining, NoCause)
}

// Admit admits a member that has joined, which counts as a report of it. The member
// becomes alive, unless its last report said that it is draining or does not receive
// messages of the owner.
func (d *Detector[ID, Domain]) Admit(now time.Time, id ID) {
	if m, ok := d.members[id]; ok {
		m.admitted = true
		d.RecordReport(now, id, Report{OwnerUnresponsive: m.ownerUnresponsive, Draining: m.state == Draining})
	}
}

// RecordReport records a report of a member. Reports of unknown and dead members are
// ignored; a dead member must join again.
func (d *Detector[ID, Domain]) RecordReport(now time.Time, id ID, report Report) {
	m, ok := d.members[id]
	if !ok || m.state == Dead {
		return
	}
	m.lastReport = now
	m.ownerUnresponsive = report.OwnerUnresponsive
	switch {
	case report.Draining:
		d.setState(id, m, Draining, NoCause)
	case !m.admitted:
	case report.OwnerUnresponsive:
		d.setState(id, m, Suspect, OwnerUnresponsive)
	default:
		if m.state == Suspect {
			d.countFlap(now, m)
		}
		d.setState(id, m, Alive, NoCause)
	}
}

// Remove removes a member without a Change.
func (d *Detector[ID, Domain]) Remove(id ID) {
	delete(d.members, id)
}

// State returns the state of a member and its cause.
func (d *Detector[ID, Domain]) State(id ID) (State, Cause) {
	if m, ok := d.members[id]; ok {
		return m.state, m.cause
	}
	return Unknown, NoCause
}

// Usable reports whether a member may get new work: it is alive and not
// suppressed.
func (d *Detector[ID, Domain]) Usable(id ID) bool {
	m, ok := d.members[id]
	return ok && m.state == Alive && !m.suppressed
}

// Tick finds unresponsive members, and returns all changes since the last call in
// the order in which they happened.
func (d *Detector[ID, Domain]) Tick(now time.Time) []Change[ID] {
	d.detectPartitions(now)
	for _, id := range d.sortedIDs() {
		m := d.members[id]
		d.release(now, m)
		d.checkContact(now, id, m)
	}
	changes := d.changes
	d.changes = nil
	return changes
}

// Probes returns the members that the owner should ask for a report, in the order of
// their IDs.
func (d *Detector[ID, Domain]) Probes() []ID {
	var ids []ID
	for _, id := range d.sortedIDs() {
		if m := d.members[id]; m.state == Suspect {
			ids = append(ids, id)
		}
	}
	return ids
}

func (d *Detector[ID, Domain]) checkContact(now time.Time, id ID, m *member[Domain]) {
	sinceContact := now.Sub(m.lastReport)
	if m.state == Dead || sinceContact < d.config.SuspectAfter() {
		return
	}
	since, partitioned := d.partitioned[m.domain]
	switch {
	case partitioned && now.Sub(since) < d.config.PartitionHold:
		d.suspect(id, m, Partitioned)
	case sinceContact >= d.config.DeadAfter():
		d.setState(id, m, Dead, Unresponsive)
	default:
		d.suspect(id, m, Unresponsive)
	}
}

// suspect makes a member suspect. A draining member keeps its state, as it gets no
// new work anyway.
func (d *Detector[ID, Domain]) suspect(id ID, m *member[Domain], cause Cause) {
	if m.state != Draining {
		d.setState(id, m, Suspect, cause)
	}
}

// detectPartitions finds the domains of which most members are unresponsive.
// checkContact treats a domain as partitioned for the hold time only.
func (d *Detector[ID, Domain]) detectPartitions(now time.Time) {
	total, unresponsive := make(map[Domain]int), make(map[Domain]int)
	for _, m := range d.members {
		if m.state == Dead {
			continue
		}
		total[m.domain]++
		if now.Sub(m.lastReport) >= d.config.SuspectAfter() {
			unresponsive[m.domain]++
		}
	}
	for domain, count := range total {
		_, known := d.partitioned[domain]
		if unresponsive[domain] < d.config.MinPartition || 2*unresponsive[domain] <= count {
			delete(d.partitioned, domain)
		} else if !known {
			d.partitioned[domain] = now
		}
	}
}

func (d *Detector[ID, Domain]) setState(id ID, m *member[Domain], to State, cause Cause) {
	if m.state == to && m.cause == cause {
		return
	}
	d.changes = append(d.changes, Change[ID]{ID: id, From: m.state, To: to, Cause: cause})
	m.state, m.cause = to, cause
}

// countFlap counts a return and suppresses a member that returns too often.
func (d *Detector[ID, Domain]) countFlap(now time.Time, m *member[Domain]) {
	d.decay(now, m)
	m.flaps++
	if m.flaps >= d.config.Flaps {
		m.suppressed = true
	}
}

// release ends the suppression of a member whose count of returns has decayed.
func (d *Detector[ID, Domain]) release(now time.Time, m *member[Domain]) {
	if d.decay(now, m); m.flaps < releaseFlaps {
		m.suppressed = false
	}
}

func (d *Detector[ID, Domain]) decay(now time.Time, m *member[Domain]) {
	halfLives := now.Sub(m.decayedAt).Seconds() / d.config.FlapHalfLife.Seconds()
	m.flaps *= math.Exp2(-halfLives)
	m.decayedAt = now
}

func (d *Detector[ID, Domain]) sortedIDs() []ID {
	ids := make([]ID, 0, len(d.members))
	for id := range d.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
