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

// campaign renews the lease, or takes it over when its holder is silent.
func (g *Gate) campaign() {
	leaving := false
	for g.ctx.Err() == nil {
		select {
		case <-g.leaving:
			if !leaving {
				leaving = true
				g.resign()
			}
		default:
		}
		g.elect(func(now time.Time) { g.elector.Tick(now) })
		if leaving && g.leading() == nil {
			return
		}
		g.pause(electorTick)
	}
}

func (g *Gate) resign() {
	g.elect(func(now time.Time) { g.elector.Resign(now) })
}

// elect lets the elector act, and carries out what it asks of the table.
func (g *Gate) elect(act func(now time.Time)) {
	g.mu.Lock()
	now := boottime.Now()
	g.store.Advance(now)
	act(now)
	effects := g.store.Take()
	g.mu.Unlock()
	for len(effects) > 0 {
		ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
		result := loop.Carry(ctx, g.table, nil, effects[0])
		cancel()
		g.mu.Lock()
		g.store.Advance(boottime.Now())
		g.store.Resolve(result)
		effects = append(effects[1:], g.store.Take()...)
		g.mu.Unlock()
	}
}

// elected takes note of another leader. The caller holds the lock.
func (g *Gate) elected(current lease.Lease, held bool) {
	if current.Epoch != g.current.Epoch || current.Holder != g.current.Holder || held != (g.leader != nil) {
		klog.InfoS("leader changed", "epoch", current.Epoch, "holder", current.Holder, "self", held)
	}
	if current.Epoch != g.current.Epoch {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	g.current = current
	g.metrics.epoch.Set(float64(current.Epoch))
	g.metrics.leading.Set(flag(held))
	if g.leader != nil && (!held || g.leader.epoch != current.Epoch) {
		g.leader.end()
		g.leader = nil
	}
	if held && g.leader == nil {
		g.leader = newLeader(g, current.Epoch, g.elector.Guard())
		go g.leader.run()
		go g.proclaim(control.Claim{Leader: g.config.Node, Epoch: current.Epoch})
	}
}

// proclaim tells all other gates that this one leads, so that agents need not
// wait until each has read the lease.
func (g *Gate) proclaim(claim control.Claim) {
	ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, peer := range g.others() {
		calls.Go(func() {
			if err := g.client.Lead(ctx, peer, claim); err != nil {
				klog.V(1).InfoS("gate not told of its leader", "gate", peer, "reason", err)
			}
		})
	}
	calls.Wait()
}

// leading returns the leader of this gate, or nil if another one leads.
func (g *Gate) leading() *leader {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// valid reports whether no other gate can lead.
func (g *Gate) valid() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.elector.Valid(boottime.Now())
}

// depose makes the gate look at the lease again.
func (g *Gate) depose() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.elector.Depose(boottime.Now())
}
