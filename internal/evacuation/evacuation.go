// Package evacuation holds the data centres that operators have asked to evacuate: no
// task is to be started at the runners there until the request is removed. It does no
// I/O and reads no clock.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// maxAgeMargin is the part of a bound that is left for the call by which an agent
	// starts a task.
	maxAgeMargin = 500 * time.Millisecond

	// maxAgeSlack is the time that an answer of the table may take beyond its wait.
	maxAgeSlack = 500 * time.Millisecond
)

type (
	// Request is the request to evacuate a data centre.
	Request struct {
		// Version is that of its row.
		Version table.Version

		// KnownSince is when this process first read the row.
		KnownSince time.Time
	}

	// Snapshot is what is known of the requests at one time.
	Snapshot struct {
		// Requests must not be modified.
		Requests map[work.ZoneID]Request

		// Revision grows with each change to Requests.
		Revision uint64

		// ConfirmedAt is a time at which Requests was complete. It is zero until all rows
		// have been read.
		ConfirmedAt time.Time
	}

	// Change is a request that was made or, if Deleted, removed at a version of the table.
	Change struct {
		Zone    work.ZoneID
		Version table.Version
		Deleted bool
	}

	// Holder holds the newest Snapshot. It is safe for use by several goroutines.
	Holder struct {
		mu       sync.Mutex
		snapshot Snapshot
	}
)

// MaxAge returns the age of a Snapshot up to which tasks may be started by it, so that none
// starts later than the bound after a request. An agent may carry out orders of the age
// ordersAge; confirmInterval is the longest time between two confirmations while the table
// answers. A bound that is too short for both does not keep tasks from starting in calm.
func MaxAge(bound, ordersAge, confirmInterval time.Duration) time.Duration {
	return max(bound-ordersAge-maxAgeMargin, confirmInterval+maxAgeSlack)
}

// Includes reports whether a data centre is to be evacuated.
func (s Snapshot) Includes(zone work.ZoneID) bool {
	_, ok := s.Requests[zone]
	return ok
}

// Fresh reports whether the snapshot has been confirmed within maxAge.
func (s Snapshot) Fresh(now time.Time, maxAge time.Duration) bool {
	return !s.ConfirmedAt.IsZero() && now.Sub(s.ConfirmedAt) <= maxAge
}

// NewHolder returns a Holder without requests.
func NewHolder() *Holder {
	return &Holder{}
}

// Snapshot returns the newest snapshot.
func (h *Holder) Snapshot() Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

// Apply applies changes in the order given, and returns those that had an effect. A deletion
// at a version before that of the request is of an earlier one, which was read late.
func (h *Holder) Apply(now time.Time, changes []Change) []Change {
	if len(changes) == 0 {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := maps.Clone(h.snapshot.Requests)
	if requests == nil {
		requests = make(map[work.ZoneID]Request)
	}
	var applied []Change
	for _, c := range changes {
		known, ok := requests[c.Zone]
		switch {
		case c.Deleted && ok && (c.Version == table.Absent || c.Version >= known.Version):
			delete(requests, c.Zone)
			applied = append(applied, c)
		case !c.Deleted && !ok:
			requests[c.Zone] = Request{Version: c.Version, KnownSince: now}
			applied = append(applied, c)
		case !c.Deleted:
			known.Version = max(known.Version, c.Version)
			requests[c.Zone] = known
		}
	}
	h.replace(requests, len(applied) > 0)
	return applied
}

// Reload replaces the requests by all that are in the table, and returns what that changes.
func (h *Holder) Reload(now time.Time, current []Change) []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests := make(map[work.ZoneID]Request, len(current))
	var changes []Change
	for _, c := range current {
		known, ok := h.snapshot.Requests[c.Zone]
		if !ok {
			known.KnownSince = now
			changes = append(changes, c)
		}
		known.Version = c.Version
		requests[c.Zone] = known
	}
	for zone := range h.snapshot.Requests {
		if _, ok := requests[zone]; !ok {
			changes = append(changes, Change{Zone: zone, Deleted: true})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Zone, b.Zone) })
	h.replace(requests, len(changes) > 0)
	return changes
}

// replace sets the requests. The caller holds the lock.
func (h *Holder) replace(requests map[work.ZoneID]Request, changed bool) {
	h.snapshot.Requests = requests
	if changed {
		h.snapshot.Revision++
	}
}

// Confirm records that the requests were complete at a time.
func (h *Holder) Confirm(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.snapshot.ConfirmedAt) {
		h.snapshot.ConfirmedAt = at
	}
}
