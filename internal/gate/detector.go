package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/pkg/membership"
)

const (
	// probeInterval is the interval at which a suspect agent is probed.
	probeInterval = time.Second
)

// agentDetector detects the failure of a leader's agents, by worker and data
// centre.
type agentDetector = membership.Detector[floor.WorkerID, floor.DataCentreID]

func newDetector() *agentDetector {
	return membership.NewDetector[floor.WorkerID, floor.DataCentreID]()
}

// recordContact records that a fenced agent was heard from.
func (l *leader) recordContact(now time.Time, u *upstream) {
	u.lastHeard = now
	l.detector.RecordReport(now, u.worker.ID, membership.Report{})
}

// checkAgents gives up the agents that the detector considers dead, excludes
// those that it considers unusable from new work, and probes the suspect ones
// with a Fence, which an agent answers at once.
func (l *leader) checkAgents(now time.Time) {
	for _, change := range l.detector.Tick(now) {
		if u, ok := l.upstreams[change.ID]; ok && change.To == membership.Dead {
			l.lose(now, u)
		}
	}
	for _, u := range l.sortedUpstreams() {
		l.setUnusable(u, !l.detector.Usable(u.worker.ID))
	}
	for _, id := range l.detector.Probes() {
		if u, ok := l.upstreams[id]; ok && !now.Before(u.nextProbe) {
			u.nextProbe = now.Add(probeInterval)
			l.sendFence(u.node, u.incarnation)
		}
	}
}

// setUnusable excludes an agent from new work, or readmits it.
func (l *leader) setUnusable(u *upstream, unusable bool) {
	if u.unusable == unusable {
		return
	}
	u.unusable = unusable
	switch {
	case unusable:
		l.policy.DrainWorker(u.worker.ID)
	case !u.draining && !u.reserveTimedOut:
		l.policy.AddWorker(u.worker)
	}
}
