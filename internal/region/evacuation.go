package region

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/evacuation"
	"github.com/lovageroad/lovageroad/internal/work"
)

// maxLoggedZones bounds the names of unknown data centres in a log line.
const maxLoggedZones = 5

type (
	// evacuations is what the leader knows of the data centres that are being evacuated.
	evacuations struct {
		evacuation.Snapshot

		// centres are those of them that have workers.
		centres map[work.ZoneID]*evacuatedCentre

		// workers is the number of workers in them, and closedRacks the racks all of whose
		// workers are.
		workers     int
		closedRacks map[work.RackID]bool

		// held says that no task may start since the requests have not been confirmed for
		// too long.
		held bool
	}

	// evacuatedCentre is how far the evacuation of a data centre is.
	evacuatedCentre struct {
		since time.Time
		tasks int
		empty bool
	}

	// EvacuationProgress is how far the evacuation of a data centre is: the number of its
	// tasks that still run or are being stopped.
	EvacuationProgress struct {
		Zone  work.ZoneID
		Tasks int
	}
)

// WithEvacuations sets the bound within which evacuations take effect, 0 if there are none,
// and the longest time between two confirmations of the requests while the table answers.
func WithEvacuations(bound, confirmInterval time.Duration) Option {
	return func(c *Config) { c.EvacuationBound, c.ConfirmInterval = bound, confirmInterval }
}

// SetEvacuations applies what is known of the evacuations of data centres. Starts in them
// that no agent has reported are withdrawn; tasks that run there run on.
func (c *Core) SetEvacuations(now time.Time, s evacuation.Snapshot) {
	changed := s.Revision != c.evacuations.Revision
	c.evacuations.Snapshot = s
	if !changed {
		return
	}
	c.replan = true
	c.logUnknownCentres()
	for _, w := range c.sortedWorkers() {
		if c.evacuated(w) {
			c.withdrawStarts(w)
			w.markOrdersPending()
		}
	}
	c.trackEvacuations(now)
}

// evacuated reports whether the worker is in a data centre that is being evacuated.
func (c *Core) evacuated(w *worker) bool {
	return w.runner != nil && len(c.evacuations.Requests) > 0 && c.evacuations.Includes(w.runner.Zone)
}

// mayStartOn reports whether tasks may start on the worker as far as evacuations go.
func (c *Core) mayStartOn(now time.Time, w *worker) bool {
	return !c.evacuated(w) && !c.startsHeld(now)
}

// startsHeld reports whether no task may start anywhere, since any data centre may have been
// evacuated unnoticed. A leader that can't read the table for so long usually loses its
// lease first; this guards against a change feed that alone is broken.
func (c *Core) startsHeld(now time.Time) bool {
	if c.config.EvacuationBound == 0 {
		return false
	}
	return !c.evacuations.Fresh(now, evacuation.MaxAge(c.config.EvacuationBound, c.config.MaxOrdersAge, c.config.ConfirmInterval))
}

// withdrawStarts stops the runs on the worker that its agent has not reported, with the
// other members of their gangs. The agent refuses a run that it does not have, and its task
// waits again. A gang that has made progress is complete and runs on.
func (c *Core) withdrawStarts(w *worker) {
	for _, id := range w.taskIDs() {
		p := w.placements[id]
		_, s, t := c.find(id)
		if p.reported || t == nil || t.worker != w || t.run != p.run || t.stopping || t.done || s.progressed() {
			continue
		}
		c.log(LogEntry{Event: "start withdrawn", Task: id, Run: t.run, Worker: w.id, Zone: w.runner.Zone})
		t.stopping, p.withdrawn = true, !s.spec.Gang
		w.markOrdersPending()
		c.stopGang(s, t.run)
	}
}

// progressed reports whether a gang has made progress, so that all of its members run.
func (s *step) progressed() bool {
	return s.spec.Gang && slices.ContainsFunc(s.tasks, func(t task) bool { return t.percent > 0 })
}

// keepWithdrawn lets a run go on whose start was withdrawn when the runner had already
// begun it.
func (c *Core) keepWithdrawn(w *worker, p *placement, j *job, t *task) {
	if !p.withdrawn || !p.confirmed || t.done || j.hasEnded() {
		return
	}
	p.withdrawn, t.stopping = false, false
	w.markOrdersPending()
}

// holdStarts records whether starts are held, and has those sent that were left out.
func (c *Core) holdStarts(now time.Time) {
	held := c.startsHeld(now)
	if held == c.evacuations.held {
		return
	}
	c.evacuations.held, c.replan = held, true
	age := now.Sub(c.began)
	if confirmed := c.evacuations.ConfirmedAt; !confirmed.IsZero() {
		age = now.Sub(confirmed)
	}
	if held {
		c.log(LogEntry{Event: "starts held", Outcome: "evacuations not confirmed", Age: age})
		return
	}
	c.log(LogEntry{Event: "starts released", Outcome: "evacuations confirmed", Age: age})
	for _, w := range c.workers {
		if w.startsLeft {
			w.markOrdersPending()
		}
	}
}

// trackEvacuations counts the workers and tasks in evacuated data centres and logs what has
// begun or ended there.
func (c *Core) trackEvacuations(now time.Time) {
	e := &c.evacuations
	if len(e.Requests) == 0 && len(e.centres) == 0 {
		return
	}
	e.workers = 0
	tasks := make(map[work.ZoneID]int)
	for _, w := range c.workers {
		if c.evacuated(w) {
			e.workers++
			tasks[w.runner.Zone] += len(w.placements)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(tasks)) {
		c.trackCentre(now, zone, tasks[zone])
	}
	for _, zone := range slices.Sorted(maps.Keys(e.centres)) {
		if centre := e.centres[zone]; !e.Includes(zone) {
			c.log(LogEntry{Event: "evacuation taken back", Zone: zone, Age: now.Sub(centre.since), Count: centre.tasks})
			delete(e.centres, zone)
		}
	}
}

// trackCentre records how many tasks are left in an evacuated data centre.
func (c *Core) trackCentre(now time.Time, zone work.ZoneID, tasks int) {
	e := &c.evacuations
	request := e.Requests[zone]
	centre := e.centres[zone]
	if centre == nil {
		if e.centres == nil {
			e.centres = make(map[work.ZoneID]*evacuatedCentre)
		}
		centre = &evacuatedCentre{since: request.KnownSince}
		e.centres[zone] = centre
		c.log(LogEntry{Event: "evacuation begun", Zone: zone, Version: request.Version, Count: tasks, Age: now.Sub(request.KnownSince)})
	}
	if tasks == 0 && !centre.empty {
		c.log(LogEntry{Event: "data centre empty", Zone: zone, Age: now.Sub(centre.since)})
	}
	centre.tasks, centre.empty = tasks, tasks == 0
}

// logUnknownCentres logs the requests for data centres without workers. A name that is
// misspelt shows there.
func (c *Core) logUnknownCentres() {
	if !c.takeoverDone || len(c.evacuations.Requests) == 0 {
		return
	}
	unknown := maps.Clone(c.evacuations.Requests)
	for _, w := range c.workers {
		if w.runner != nil {
			delete(unknown, w.runner.Zone)
		}
	}
	if len(unknown) == 0 {
		return
	}
	names := make([]string, 0, len(unknown))
	for zone := range unknown {
		names = append(names, string(zone))
	}
	slices.Sort(names)
	c.log(LogEntry{Event: "evacuations without runners", Count: len(names), Detail: strings.Join(names[:min(len(names), maxLoggedZones)], " ")})
}

// closeRacks finds the racks all of whose workers are in evacuated data centres. Steps whose
// data is there need not wait for a place close to it.
func (c *Core) closeRacks() {
	c.evacuations.closedRacks = nil
	if len(c.evacuations.centres) == 0 {
		return
	}
	closed := make(map[work.RackID]bool)
	for _, w := range c.workers {
		if w.runner == nil || w.runner.Rack == "" {
			continue
		}
		before, seen := closed[w.runner.Rack]
		closed[w.runner.Rack] = c.evacuated(w) && (before || !seen)
	}
	c.evacuations.closedRacks = closed
}

// Evacuations returns how far the evacuations of data centres with workers are, in the order
// of their names.
func (c *Core) Evacuations() []EvacuationProgress {
	progress := make([]EvacuationProgress, 0, len(c.evacuations.centres))
	for zone, centre := range c.evacuations.centres {
		progress = append(progress, EvacuationProgress{Zone: zone, Tasks: centre.tasks})
	}
	slices.SortFunc(progress, func(a, b EvacuationProgress) int { return cmp.Compare(a.Zone, b.Zone) })
	return progress
}
