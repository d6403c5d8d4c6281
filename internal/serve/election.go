package serve

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// campaign renews the lease, or takes it over when its holder has not renewed
// it in time, until the gate ends or has resigned.
func (g *Gate) campaign() {
	resigned := false
	for g.ctx.Err() == nil {
		select {
		case <-g.resigning:
			if !resigned {
				resigned = true
				g.releaseLease()
			}
		default:
		}
		g.withElector(func(now time.Time) { g.elector.Tick(now) })
		if resigned && g.localLeader() == nil {
			return
		}
		g.pause(electorInterval)
	}
}

func (g *Gate) releaseLease() {
	g.withElector(func(now time.Time) { g.elector.Resign(now) })
}

// withElector runs a function on the elector under the gate's lock, and then
// carries out the table operations that the elector requested.
func (g *Gate) withElector(act func(now time.Time)) {
	g.mu.Lock()
	now := boottime.Now()
	g.store.Advance(now)
	act(now)
	effects := g.store.Take()
	g.mu.Unlock()
	for len(effects) > 0 {
		ctx, cancel := context.WithTimeout(g.ctx, tableTimeout)
		result := loop.Execute(ctx, g.table, nil, effects[0])
		cancel()
		g.mu.Lock()
		g.store.Advance(boottime.Now())
		g.store.Resolve(result)
		effects = append(effects[1:], g.store.Take()...)
		g.mu.Unlock()
	}
}

// leaseChanged records a new state of the lease, and starts or stops this gate's
// leader accordingly. The caller holds the lock.
func (g *Gate) leaseChanged(current lease.Lease, held bool) {
	if current.Epoch != g.currentLease.Epoch || current.Holder != g.currentLease.Holder || held != (g.leader != nil) {
		klog.InfoS("leader changed", "epoch", current.Epoch, "holder", current.Holder, "self", held)
	}
	if current.Epoch != g.currentLease.Epoch {
		close(g.leaderChanged)
		g.leaderChanged = make(chan struct{})
	}
	g.currentLease = current
	g.metrics.leaseEpoch.Set(float64(current.Epoch))
	g.metrics.leaseHeld.Set(gaugeValue(held))
	if g.leader != nil && (!held || g.leader.epoch != current.Epoch) {
		g.leader.cancel()
		g.leader = nil
	}
	if held && g.leader == nil {
		g.leader = newLeader(g, current.Epoch, g.elector.Guard())
		go g.leader.run()
		go g.announceLeadership(control.LeaderNotice{Leader: g.config.Node, Epoch: current.Epoch})
	}
}

// logLeaseEvent counts and logs a step of the elector.
func (g *Gate) logLeaseEvent(e lease.Event) {
	g.metrics.events.WithLabelValues(string(e.Kind)).Inc()
	klog.InfoS(string(e.Kind), "epoch", e.Lease.Epoch, "holder", e.Lease.Holder, "renewals", e.Lease.Renewals,
		"version", e.Version, "self", e.Held, "age", e.Age, "reason", e.Err)
}

// announceLeadership notifies all other gates that this one leads, so that
// agents need not wait until each gate has read the lease.
func (g *Gate) announceLeadership(notice control.LeaderNotice) {
	ctx, cancel := context.WithTimeout(g.ctx, gateCallTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range g.otherGates() {
		calls.Go(func() {
			if err := g.client.AnnounceLeader(ctx, peer, notice); err != nil {
				klog.V(1).InfoS("gate not notified of the new leader", "gate", peer, "reason", err)
			}
		})
	}
	calls.Wait()
}

// localLeader returns the leader that runs in this gate, or nil if this gate
// does not lead.
func (g *Gate) localLeader() *leader {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// leaseValid reports whether this gate holds the lease and no other gate can
// have taken it over.
func (g *Gate) leaseValid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Valid(boottime.Now())
}

// stepDown makes the gate stop leading and read the lease again.
func (g *Gate) stepDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.elector.StepDown(boottime.Now())
}
