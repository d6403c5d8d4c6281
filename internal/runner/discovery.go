package runner

import (
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// orderlessDivisor says that the agent looks for gates after this part of Config.HoldTime
	// without orders of a leader, so that it finds them before the leases of its tasks end.
	orderlessDivisor = 2

	// firstFindInterval is the time between two searches for gates as long as none has found
	// any, findInterval the time between all others.
	firstFindInterval = 750 * time.Millisecond
	findInterval      = 3 * time.Second
)

// findGates looks for gates while no leader gives orders. Those that are known may all have
// been replaced by others at new addresses.
func (c *Core) findGates(now time.Time) {
	if c.finding || now.Before(c.nextFind) || !c.ledAt.IsZero() && now.Sub(c.ledAt) <= c.config.HoldTime/orderlessDivisor {
		return
	}
	if !c.ledAt.IsZero() {
		c.log("no orders; looking for gates", "age", now.Sub(c.ledAt), "epoch", c.epoch, "known", len(c.gates))
	}
	c.finding = true
	c.effects = append(c.effects, FindGates{})
}

// onGatesFound replaces the known gates by those found, if there are any.
func (c *Core) onGatesFound(now time.Time, e GatesFound) {
	c.finding, c.nextFind = false, now.Add(findInterval)
	if e.Err != nil || len(e.Gates) == 0 {
		if !c.found {
			c.nextFind = now.Add(firstFindInterval)
		}
		c.log("no gates found", "reason", e.Err, "known", len(c.gates))
		return
	}
	added := slices.ContainsFunc(e.Gates, func(n machine.Node) bool { return !slices.Contains(c.gates, n) })
	if added || len(e.Gates) != len(c.gates) {
		c.log("gates found", "gates", len(e.Gates), "known", len(c.gates), "new", added)
	}
	c.found = true
	c.gates, c.nextGate = e.Gates, 0
}
