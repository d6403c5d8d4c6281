package gang_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/gang"
)

const (
	seeds = 40
	step  = 500 * time.Millisecond
)

var startTime = time.Unix(1_000_000, 0)

// packet is a heartbeat in flight.
type packet struct {
	to        int
	deliverAt time.Time
	heartbeat gang.Heartbeat
}

// network is a ring of members connected by links that lose, delay, reorder and
// duplicate messages.
type network struct {
	rng         *rand.Rand
	now         time.Time
	members     []*gang.Member[int]
	packets     []packet
	loss        float64
	partitioned func(from, to int) bool
	stopped     map[int]bool
	starts      []int
}

func newNetwork(seed uint64, size int, loss float64) *network {
	n := &network{
		rng:         rand.New(rand.NewPCG(seed, 7)),
		now:         startTime,
		loss:        loss,
		partitioned: func(int, int) bool { return false },
		stopped:     make(map[int]bool),
		starts:      make([]int, size),
	}
	ring := make([]int, size)
	for i := range ring {
		ring[i] = i
	}
	for i := range ring {
		n.members = append(n.members, gang.NewMember(ring, gang.Rank(i)))
	}
	return n
}

func (n *network) execute(from int, actions gang.Actions[int]) {
	if actions.Start {
		n.starts[from]++
	}
	for _, s := range actions.Sends {
		for range 1 + n.rng.IntN(2) {
			if n.rng.Float64() >= n.loss && !n.partitioned(from, s.To) {
				delay := time.Duration(n.rng.IntN(400)) * time.Millisecond
				n.packets = append(n.packets, packet{to: s.To, deliverAt: n.now.Add(delay), heartbeat: s.Heartbeat})
			}
		}
	}
}

func (n *network) run(duration time.Duration) {
	for end := n.now.Add(duration); n.now.Before(end); {
		n.now = n.now.Add(step)
		inFlight := n.packets
		n.packets = nil
		for _, p := range inFlight {
			switch {
			case p.deliverAt.After(n.now):
				n.packets = append(n.packets, p)
			case !n.stopped[p.to]:
				n.execute(p.to, n.members[p.to].Receive(n.now, p.heartbeat))
			}
		}
		for i, m := range n.members {
			if !n.stopped[i] {
				n.execute(i, m.Tick(n.now))
			}
		}
	}
}

func (n *network) count(state gang.State) int {
	count := 0
	for i, m := range n.members {
		if !n.stopped[i] && m.State() == state {
			count++
		}
	}
	return count
}

// TestLossyLinks runs gangs without failed members over lossy links for an hour. None may
// break, and an order to start given to one member must reach all.
func TestLossyLinks(t *testing.T) {
	for _, size := range []int{2, 3, 64} {
		n := newNetwork(uint64(size), size, 0.25)
		n.execute(0, n.members[0].Start(n.now))
		n.run(time.Hour)
		if running := n.count(gang.Running); running != size {
			t.Errorf("size %d: %d members run after an hour", size, running)
		}
		for i, starts := range n.starts {
			if starts != 1 {
				t.Errorf("size %d: member %d was started %d times", size, i, starts)
			}
		}
	}
}

// TestBroken breaks gangs in several ways. No member may run after the lease has
// passed.
func TestBroken(t *testing.T) {
	faults := []struct {
		name  string
		apply func(n *network, victim int)
	}{
		{"killed", func(n *network, victim int) { n.stopped[victim] = true }},
		{"cut off", func(n *network, victim int) {
			n.partitioned = func(from, to int) bool { return from == victim || to == victim }
		}},
		{"one-way cut", func(n *network, victim int) {
			n.partitioned = func(from, _ int) bool { return from == victim }
		}},
		{"two halves", func(n *network, victim int) {
			n.partitioned = func(from, to int) bool { return from < victim != (to < victim) }
		}},
		{"task stopped", func(n *network, victim int) { n.execute(victim, n.members[victim].Halt()) }},
	}
	for _, fault := range faults {
		for seed := range uint64(seeds) {
			size := []int{2, 3, 5, 64}[seed%4]
			n := newNetwork(seed, size, 0.1)
			for i, m := range n.members {
				n.execute(i, m.Start(n.now))
			}
			n.run(time.Minute)
			if n.count(gang.Running) != size {
				t.Fatalf("%s, seed %d: not all members ran before the fault", fault.name, seed)
			}
			fault.apply(n, 1+n.rng.IntN(size-1))
			n.run(gang.DefaultLease)
			if running := n.count(gang.Running); running > 0 {
				t.Errorf("%s, seed %d: %d of %d members run after the lease", fault.name, seed, running, size)
			}
		}
	}
}

// TestPaused pauses a member for longer than the lease. It must halt at its first
// step afterwards and not start again.
func TestPaused(t *testing.T) {
	n := newNetwork(3, 4, 0)
	n.execute(0, n.members[0].Start(n.now))
	n.run(10 * time.Second)
	n.stopped[2] = true
	n.run(2 * gang.DefaultLease)
	delete(n.stopped, 2)
	n.run(step)
	if running := n.count(gang.Running); running > 0 {
		t.Errorf("%d members run", running)
	}
	n.run(time.Minute)
	if n.count(gang.Halted) != 4 {
		t.Errorf("%d members halted", n.count(gang.Halted))
	}
}

// TestReservedStart checks that a reserved member starts only if another has
// started, and never once the gang is broken.
func TestReservedStart(t *testing.T) {
	n := newNetwork(5, 3, 0)
	for i, m := range n.members {
		n.execute(i, m.RequestHeartbeats())
	}
	n.run(time.Minute)
	if n.count(gang.Reserved) != 3 {
		t.Errorf("%d members are reserved", n.count(gang.Reserved))
	}
	n.partitioned = func(_, to int) bool { return to == 2 }
	n.execute(0, n.members[0].Start(n.now))
	n.run(2 * gang.DefaultLease)
	n.partitioned = func(int, int) bool { return false }
	n.execute(2, n.members[2].RequestHeartbeats())
	n.run(time.Minute)
	if n.starts[2] != 0 || n.count(gang.Halted) != 3 {
		t.Errorf("member 2 was started %d times, %d members halted", n.starts[2], n.count(gang.Halted))
	}
}

// TestEnded lets one member end before the others. The others must keep running, and
// the ended member must pass on a later notice that the gang is broken.
func TestEnded(t *testing.T) {
	n := newNetwork(8, 5, 0)
	n.execute(0, n.members[0].Start(n.now))
	n.run(10 * time.Second)
	n.members[2].End()
	n.run(time.Minute)
	if n.count(gang.Running) != 4 {
		t.Errorf("%d members run besides one that has ended, want 4", n.count(gang.Running))
	}
	n.partitioned = func(from, to int) bool { return from == 1 && to != 2 }
	n.execute(1, n.members[1].Halt())
	n.run(gang.DefaultLease)
	if n.count(gang.Running) != 0 || n.members[2].State() != gang.Ended {
		t.Errorf("%d members run, member 2 is in state %v", n.count(gang.Running), n.members[2].State())
	}
	for _, s := range n.members[2].Receive(n.now, gang.Heartbeat{From: 3, State: gang.Reserved, ReplyRequested: true}).Sends {
		if s.Heartbeat.State != gang.Halted {
			t.Errorf("an ended member of a broken gang sent %v", s.Heartbeat)
		}
	}
}

// TestMessages checks the number of messages: at most two for each member and
// interval while no member has failed, and when the gang breaks at most two for each
// member and each power of two below the size of the gang.
func TestMessages(t *testing.T) {
	const size, intervals = 64, 30
	n := newNetwork(9, size, 0)
	for _, m := range n.members {
		m.Start(n.now)
	}
	sent := 0
	count := func(actions gang.Actions[int]) { sent += len(actions.Sends) }
	for range intervals {
		n.now = n.now.Add(gang.DefaultInterval)
		for i, m := range n.members {
			for _, neighbour := range []int{(i + 1) % size, (i + size - 1) % size} {
				m.Receive(n.now, gang.Heartbeat{From: gang.Rank(neighbour), State: gang.Running})
			}
			count(m.Tick(n.now))
			count(m.Tick(n.now.Add(gang.DefaultInterval / 2)))
		}
	}
	if sent > 2*size*intervals {
		t.Errorf("%d heartbeats in %d intervals", sent, intervals)
	}
	sent = 0
	n.now = n.now.Add(gang.DefaultLease)
	for i, m := range n.members {
		if i == 1 || i == size-1 {
			count(m.Tick(n.now))
		} else if i != 0 {
			count(m.Receive(n.now, gang.Heartbeat{From: 1, State: gang.Halted}))
		}
	}
	if sent > 2*6*size {
		t.Errorf("%d messages to stop %d members", sent, size)
	}
}

// The member with rank 1 in a gang of three stops hearing from rank 0.
func ExampleMember() {
	ring := []string{"10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"}
	member := gang.NewMember(ring, 1, gang.WithInterval(time.Second), gang.WithLease(10*time.Second))
	now := time.Unix(0, 0)
	for _, s := range member.Start(now).Sends {
		fmt.Println("heartbeat to", s.To)
	}
	for range 9 {
		now = now.Add(time.Second)
		member.Receive(now, gang.Heartbeat{From: 2, State: gang.Running})
		if actions := member.Tick(now); actions.Stop {
			lost, _ := member.Broken()
			fmt.Println("stop after", now.Sub(time.Unix(0, 0)), "as member", lost, "failed")
		}
	}
	// Output:
	// heartbeat to 10.0.0.3:7100
	// heartbeat to 10.0.0.1:7100
	// stop after 8s as member 0 failed
}
