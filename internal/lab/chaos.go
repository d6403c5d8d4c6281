package lab

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// Chaos brings about faults and requests at random.
type Chaos struct {
	// Faults is the time between two faults, on average. Zero is none.
	Faults time.Duration

	// Requests is the time between two requests, on average.
	Requests time.Duration

	// Keys is the number of idempotency keys that requests use.
	Keys int

	// Outages includes faults of the store.
	Outages bool

	region *Region
	end    time.Time
	outage bool
	moves  int
}

// NewChaos returns faults and requests for the region.
func NewChaos(r *Region) *Chaos {
	return &Chaos{region: r, Faults: 4 * time.Second, Requests: time.Second, Keys: 40, Outages: true}
}

// Run brings faults about for the given time, then ends them all, restarts what
// is down and lets the rest pass. It returns a Violation if a check fails.
func (c *Chaos) Run(duration, rest time.Duration) error {
	c.end = c.region.Now().Add(duration)
	if c.Faults > 0 {
		c.repeat(c.Faults, c.fault)
	}
	c.repeat(c.Requests, c.request)
	if err := c.region.Run(duration); err != nil {
		return err
	}
	c.heal()
	return c.region.Run(rest)
}

func (c *Chaos) repeat(interval time.Duration, run func()) {
	c.region.After(c.region.Between(0, 2*interval), func() {
		if c.region.Now().Before(c.end) {
			run()
			c.repeat(interval, run)
		}
	})
}

func (c *Chaos) heal() {
	c.region.Network.Heal()
	c.region.Store.Heal()
	for _, p := range c.region.Gates {
		c.revive(p)
	}
	for _, r := range c.region.Runners {
		c.revive(r.Process)
	}
}

func (c *Chaos) revive(p *Process) {
	p.Resume()
	if !p.Up() {
		p.Restart()
	}
}

func (c *Chaos) fault() {
	gate := c.region.Gates[c.region.random.IntN(len(c.region.Gates))]
	runner := c.region.Runners[c.region.random.IntN(len(c.region.Runners))]
	length := c.region.Between(time.Second, 30*time.Second)
	switch c.region.random.IntN(11) {
	case 0:
		c.crash(gate, length)
	case 1:
		c.crash(runner.Process, length)
	case 2:
		runner.Fail()
		c.region.After(length, func() { c.revive(runner.Process) })
	case 3:
		gate.Pause()
		c.region.After(length, gate.Resume)
	case 4:
		runner.Process.Pause()
		c.region.After(length, runner.Process.Resume)
	case 5:
		c.region.Network.Isolate(gate.Node())
		c.region.After(length, c.region.Network.Heal)
	case 6:
		c.region.Network.Cut(gate.Node(), runner.Process.Node())
		c.region.After(length, c.region.Network.Heal)
	case 7:
		c.region.Network.Loss, c.region.Network.Duplicate = 0.2, 0.2
		c.region.Network.Spread = 300 * time.Millisecond
		c.region.After(length, c.region.Network.Heal)
	case 8:
		c.moves++
		runner.Fail()
		runner.Process.Move(machine.Node(fmt.Sprintf("moved-%d", c.moves)))
	case 9:
		c.leave(runner, length)
	case 10:
		c.storeFault(length)
	}
}

func (c *Chaos) crash(p *Process, length time.Duration) {
	p.Crash()
	c.region.After(length, func() { c.revive(p) })
}

// leave shuts an agent down gracefully and lets another take its place.
func (c *Chaos) leave(runner *Runner, length time.Duration) {
	runner.Process.Post(agent.Leave{})
	life := runner.Process.Life()
	c.region.After(length, func() {
		if runner.Process.Life() == life {
			runner.Fail()
			c.revive(runner.Process)
		}
	})
}

func (c *Chaos) storeFault(length time.Duration) {
	if !c.Outages || c.outage {
		return
	}
	c.outage = true
	store := c.region.Store
	switch c.region.random.IntN(4) {
	case 0:
		store.Down = true
	case 1:
		store.Silent = true
	case 2:
		store.Lost = 0.5
	case 3:
		store.Delay, store.Spread = time.Second, 3*time.Second
	}
	c.region.After(2*length, func() {
		store.Heal()
		c.outage = false
	})
}

func (c *Chaos) request() {
	gate := c.region.Gates[c.region.random.IntN(len(c.region.Gates))]
	if !gate.Up() {
		return
	}
	number := c.region.random.IntN(c.Keys)
	key := fmt.Sprint(number)
	wait := time.Duration(c.region.random.IntN(2)) * time.Minute
	switch c.region.random.IntN(10) {
	case 0:
		c.region.Callers.Cancel(gate, key)
	case 1, 2:
		c.region.Callers.Lookup(gate, key, wait)
	default:
		c.region.Callers.Submit(gate, key, specOf(number), wait)
	}
}

// specOf returns the job of a key: gangs of one to three members that run for
// one to twenty seconds, a third of them non-idempotent, some of which fail.
func specOf(number int) job.Spec {
	spec := SpecOf(1+number%3, number%5 > 1, time.Duration(1+number*7%20)*time.Second)
	if number%13 == 12 {
		spec.Input = []byte(failingInput)
	}
	return spec
}
