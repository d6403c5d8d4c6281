package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/membership"
)

const (
	// probeInterval is the time between two questions to a suspect agent.
	probeInterval = time.Second
)

// members follows the agents of a leader by worker and data centre.
type members = membership.Detector[floor.WorkerID, floor.DataCentreID]

func newMembers() *members {
	return membership.NewDetector[floor.WorkerID, floor.DataCentreID]()
}

// hear takes note of a message from a fenced agent.
func (l *leader) hear(now time.Time, u *upstream) {
	u.heard = now
	l.members.Heard(now, u.worker.ID, membership.Report{})
}

// watchMembers gives up the agents that are dead, keeps those in doubt from new
// work, and asks the suspect ones. An agent answers a Fence at once.
func (l *leader) watchMembers(now time.Time) {
	for _, change := range l.members.Tick(now) {
		if u, ok := l.workers[change.ID]; ok && change.To == membership.Dead {
			l.lose(now, u)
		}
	}
	for _, u := range l.list() {
		l.doubt(u, !l.members.Usable(u.worker.ID))
	}
	for _, id := range l.members.Probes() {
		if u, ok := l.workers[id]; ok && !now.Before(u.probe) {
			u.probe = now.Add(probeInterval)
			l.gate.send(u.node, wire.Fence{Epoch: l.epoch, Revision: l.gate.directory.revision()})
		}
	}
}

// doubt keeps an agent from new work while it is in doubt.
func (l *leader) doubt(u *upstream, doubted bool) {
	if u.doubted == doubted {
		return
	}
	u.doubted = doubted
	switch {
	case doubted:
		l.policy.DrainWorker(u.worker.ID)
	case !u.leaving && !u.suspect:
		l.policy.AddWorker(u.worker)
	}
}
