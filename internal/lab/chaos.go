package lab

import (
	"fmt"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// Chaos generates random faults and random requests of callers in a region.
type Chaos struct {
	// Faults is the mean time between two faults. Zero means no faults.
	Faults time.Duration

	// Requests is the mean time between two requests.
	Requests time.Duration

	// Keys is the number of idempotency keys that requests use.
	Keys int

	// Outages says that faults of the store are generated.
	Outages bool

	region      *Region
	end         time.Time
	storeFaulty bool
	addresses   int
}

// NewChaos returns a generator for the region with default rates and store faults.
func NewChaos(r *Region) *Chaos {
	return &Chaos{region: r, Faults: 4 * time.Second, Requests: time.Second, Keys: 40, Outages: true}
}

// Run generates faults and requests for the given duration. Then it ends all faults,
// restarts all processes that are down and runs the region for the time rest. It
// returns a Violation if a check fails.
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

// repeat calls run at random intervals with the given mean, until the time c.end.
func (c *Chaos) repeat(interval time.Duration, run func()) {
	c.region.After(c.region.RandomDuration(0, 2*interval), func() {
		if c.region.Now().Before(c.end) {
			run()
			c.repeat(interval, run)
		}
	})
}

// heal ends all faults.
func (c *Chaos) heal() {
	c.region.Network.Heal()
	c.region.Store.Heal()
	for _, p := range c.region.Gates {
		c.restore(p)
	}
	for _, r := range c.region.Runners {
		c.restore(r.Process)
	}
}

// restore resumes a process, and restarts it if it is down.
func (c *Chaos) restore(p *Process) {
	p.Resume()
	if !p.Up() {
		p.Restart()
	}
}

// fault starts one random fault at a random gate or runner.
func (c *Chaos) fault() {
	gate := c.region.Gates[c.region.random.IntN(len(c.region.Gates))]
	runner := c.region.Runners[c.region.random.IntN(len(c.region.Runners))]
	duration := c.region.RandomDuration(time.Second, 30*time.Second)
	switch c.region.random.IntN(11) {
	case 0:
		c.crash(gate, duration)
	case 1:
		c.crash(runner.Process, duration)
	case 2:
		runner.LoseMachine()
		c.region.After(duration, func() { c.restore(runner.Process) })
	case 3:
		gate.Pause()
		c.region.After(duration, gate.Resume)
	case 4:
		runner.Process.Pause()
		c.region.After(duration, runner.Process.Resume)
	case 5:
		c.region.Network.Isolate(gate.Node())
		c.region.After(duration, c.region.Network.Heal)
	case 6:
		c.region.Network.Cut(gate.Node(), runner.Process.Node())
		c.region.After(duration, c.region.Network.Heal)
	case 7:
		c.region.Network.LossProbability, c.region.Network.DuplicateProbability = 0.2, 0.2
		c.region.Network.Jitter = 300 * time.Millisecond
		c.region.After(duration, c.region.Network.Heal)
	case 8:
		c.addresses++
		runner.LoseMachine()
		runner.Process.Move(machine.Node(fmt.Sprintf("moved-%d", c.addresses)))
	case 9:
		c.drainAgent(runner, duration)
	case 10:
		c.storeFault(duration)
	}
}

// crash stops a process and restarts it after a time.
func (c *Chaos) crash(p *Process, duration time.Duration) {
	p.Crash()
	c.region.After(duration, func() { c.restore(p) })
}

// drainAgent shuts an agent down gracefully. After a time the whole machine is replaced,
// unless the agent was restarted meanwhile.
func (c *Chaos) drainAgent(runner *Runner, duration time.Duration) {
	runner.Process.Post(agent.Drain{})
	incarnation := runner.Process.Incarnation()
	c.region.After(duration, func() {
		if runner.Process.Incarnation() == incarnation {
			runner.LoseMachine()
			c.restore(runner.Process)
		}
	})
}

// storeFault starts a random fault of the store, unless there is one already.
func (c *Chaos) storeFault(duration time.Duration) {
	if !c.Outages || c.storeFaulty {
		return
	}
	c.storeFaulty = true
	store := c.region.Store
	switch c.region.random.IntN(4) {
	case 0:
		store.Down = true
	case 1:
		store.Silent = true
	case 2:
		store.LossProbability = 0.5
	case 3:
		store.Delay, store.Jitter = time.Second, 3*time.Second
	}
	c.region.After(2*duration, func() {
		store.Heal()
		c.storeFaulty = false
	})
}

// request sends one random request to a random gate.
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
		c.region.Callers.Submit(gate, key, specForNumber(number), wait)
	}
}

// specForNumber returns the spec of the job with the given key number: one to three
// members that run for one to twenty seconds. Two fifths of the jobs are
// non-idempotent, and some fail.
func specForNumber(number int) job.Spec {
	spec := SpecOf(1+number%3, number%5 > 1, time.Duration(1+number*7%20)*time.Second)
	if number%13 == 12 {
		spec.Input = []byte(failingInput)
	}
	return spec
}
