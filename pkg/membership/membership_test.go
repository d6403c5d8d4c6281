package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/membership"
)

const second = time.Second

// group is a detector with members that report to it over lossy links.
type group struct {
	*membership.Detector[string, string]
	rng               *rand.Rand
	now               time.Time
	ids               []string
	loss              float64
	unresponsive      map[string]bool
	ownerUnresponsive map[string]bool
	draining          map[string]bool
	changes           map[string][]membership.Change[string]
}

// newGroup returns a group whose members are all alive.
func newGroup(seed uint64, domains, size int) *group {
	g := &group{
		Detector:          membership.NewDetector[string, string](),
		rng:               rand.New(rand.NewPCG(seed, 1)),
		now:               time.Unix(1_000_000, 0),
		unresponsive:      make(map[string]bool),
		ownerUnresponsive: make(map[string]bool),
		draining:          make(map[string]bool),
		changes:           make(map[string][]membership.Change[string]),
	}
	for domain := range domains {
		for i := range size {
			id := fmt.Sprintf("%d/%02d", domain, i)
			g.ids = append(g.ids, id)
			g.Join(g.now, id, fmt.Sprint(domain))
			g.Admit(g.now, id)
		}
	}
	g.Tick(g.now)
	return g
}

// advance lets time pass. Members report once per interval and answer probes.
func (g *group) advance(duration time.Duration) {
	for end := g.now.Add(duration); g.now.Before(end); {
		g.now = g.now.Add(second)
		if g.now.Unix()%int64(g.Config().Interval/second) == 0 {
			for _, id := range g.ids {
				g.report(id)
			}
		}
		for _, id := range g.Probes() {
			if g.rng.Float64() >= g.loss {
				g.report(id)
			}
		}
		for _, change := range g.Tick(g.now) {
			g.changes[change.ID] = append(g.changes[change.ID], change)
		}
	}
}

func (g *group) report(id string) {
	if !g.unresponsive[id] && g.rng.Float64() >= g.loss {
		g.RecordReport(g.now, id, membership.Report{OwnerUnresponsive: g.ownerUnresponsive[id], Draining: g.draining[id]})
	}
}

func (g *group) expect(t *testing.T, id string, state membership.State, cause membership.Cause) {
	t.Helper()
	if gotState, gotCause := g.State(id); gotState != state || gotCause != cause {
		t.Errorf("%s is in state %v with cause %v, want %v with %v", id, gotState, gotCause, state, cause)
	}
}

// TestLossyLinks drops a fifth of all messages for an hour, with 232 members in 8
// domains. No member may be declared dead.
func TestLossyLinks(t *testing.T) {
	for seed := range uint64(3) {
		g := newGroup(seed, 8, 29)
		g.loss = 0.2
		g.advance(time.Hour)
		for id, changes := range g.changes {
			for _, change := range changes {
				if change.To == membership.Dead {
					t.Errorf("seed %d: %s was declared dead", seed, id)
				}
			}
		}
	}
}

// TestCauses checks the states and causes of members that are unresponsive, that do
// not receive messages of the owner, and that drain.
func TestCauses(t *testing.T) {
	g := newGroup(1, 2, 5)
	g.unresponsive["0/00"] = true
	g.unresponsive["0/01"] = true
	g.ownerUnresponsive["0/02"] = true
	g.draining["0/03"] = true
	g.advance(6 * second)
	g.expect(t, "0/00", membership.Suspect, membership.Unresponsive)
	g.expect(t, "0/02", membership.Suspect, membership.OwnerUnresponsive)
	g.expect(t, "0/03", membership.Draining, membership.NoCause)
	for _, id := range g.ids[:4] {
		if g.Usable(id) {
			t.Errorf("%s may get new work", id)
		}
	}
	g.unresponsive["0/01"] = false
	g.advance(g.Config().DeadAfter())
	g.expect(t, "0/00", membership.Dead, membership.Unresponsive)
	g.expect(t, "0/01", membership.Alive, membership.NoCause)
	g.unresponsive["0/00"] = false
	g.advance(time.Minute)
	g.expect(t, "0/00", membership.Dead, membership.Unresponsive)
	g.expect(t, "0/02", membership.Suspect, membership.OwnerUnresponsive)
	if !g.Usable("0/04") || !g.Usable("1/00") {
		t.Error("a member that reports may not get work")
	}
}

// TestCrashBound checks that a crashed member, and one that crashes while draining,
// is declared dead within DeadAfter.
func TestCrashBound(t *testing.T) {
	g := newGroup(2, 1, 5)
	g.unresponsive["0/00"], g.unresponsive["0/01"] = true, true
	g.draining["0/01"] = true
	g.RecordReport(g.now, "0/01", membership.Report{Draining: true})
	g.advance(g.Config().SuspectAfter() + second)
	g.expect(t, "0/01", membership.Draining, membership.NoCause)
	g.advance(g.Config().DeadAfter() - g.Config().SuspectAfter())
	g.expect(t, "0/00", membership.Dead, membership.Unresponsive)
	g.expect(t, "0/01", membership.Dead, membership.Unresponsive)
	g.unresponsive["0/02"] = true
	g.advance(g.Config().DeadAfter() + second)
	g.expect(t, "0/02", membership.Dead, membership.Unresponsive)
}

// TestPartition partitions most of a domain. Its members must not be declared dead
// before the hold time ends, and a crash in another domain must be found meanwhile.
func TestPartition(t *testing.T) {
	g := newGroup(3, 3, 5)
	for _, id := range g.ids[:4] {
		g.unresponsive[id] = true
	}
	g.unresponsive["1/00"] = true
	g.advance(membership.DefaultPartitionHold)
	g.expect(t, "0/00", membership.Suspect, membership.Partitioned)
	g.expect(t, "1/00", membership.Dead, membership.Unresponsive)
	if !g.Usable("0/04") || g.Usable("0/00") {
		t.Error("an unresponsive member of the domain may get work, or a responsive one may not")
	}
	g.advance(g.Config().DeadAfter())
	g.expect(t, "0/00", membership.Dead, membership.Unresponsive)
	g = newGroup(3, 3, 5)
	for _, id := range g.ids[:4] {
		g.unresponsive[id] = true
	}
	g.advance(time.Minute)
	clear(g.unresponsive)
	g.advance(5 * second)
	for _, id := range g.ids {
		g.expect(t, id, membership.Alive, membership.NoCause)
	}
}

// TestLessThanHalf checks that four unresponsive members of a domain of nine are
// declared dead: it does not count as partitioned.
func TestLessThanHalf(t *testing.T) {
	g := newGroup(6, 1, 9)
	for _, id := range g.ids[:4] {
		g.unresponsive[id] = true
	}
	g.advance(g.Config().DeadAfter() + second)
	g.expect(t, "0/03", membership.Dead, membership.Unresponsive)
}

// TestFlapping checks that a member that repeatedly fails and returns is suppressed
// until it has been stable, and so is one that repeatedly restarts.
func TestFlapping(t *testing.T) {
	g := newGroup(4, 1, 9)
	for range 6 {
		g.unresponsive["0/00"] = true
		g.advance(7 * second)
		g.unresponsive["0/00"] = false
		g.advance(7 * second)
	}
	g.expect(t, "0/00", membership.Alive, membership.NoCause)
	if g.Usable("0/00") {
		t.Error("a flapping member may get new work")
	}
	g.advance(4 * membership.DefaultFlapHalfLife)
	if !g.Usable("0/00") {
		t.Error("a member that has been stable may not get new work")
	}
	for range 6 {
		g.unresponsive["0/01"] = true
		g.advance(7 * second)
		g.unresponsive["0/01"] = false
		g.Join(g.now, "0/01", "0")
		g.Admit(g.now, "0/01")
	}
	if g.Usable("0/01") {
		t.Error("a member that restarts again and again may get new work")
	}
}

// TestJoining checks that a member gets no work before it is admitted.
func TestJoining(t *testing.T) {
	g := newGroup(5, 1, 3)
	g.Join(g.now, "new", "0")
	g.RecordReport(g.now, "new", membership.Report{})
	g.expect(t, "new", membership.Joining, membership.NoCause)
	if g.Usable("new") {
		t.Error("a member that is not admitted may get new work")
	}
	g.Admit(g.now, "new")
	if !g.Usable("new") {
		t.Error("an admitted member may not get new work")
	}
	g.RecordReport(g.now, "new", membership.Report{Draining: true})
	g.Join(g.now, "new", "0")
	g.Admit(g.now, "new")
	if !g.Usable("new") {
		t.Error("a new incarnation may not get new work")
	}
	g.Remove("new")
	g.expect(t, "new", membership.Unknown, membership.NoCause)
}

// A member joins and then sends no reports.
func ExampleDetector() {
	detector := membership.NewDetector[string, string](membership.WithInterval(2*time.Second), membership.WithProbes(4))
	now := time.Unix(0, 0)
	detector.Join(now, "worker-1", "dc-1")
	detector.Admit(now, "worker-1")
	names := map[membership.State]string{
		membership.Joining: "joining", membership.Alive: "alive",
		membership.Suspect: "suspect", membership.Dead: "dead",
	}
	for range 20 {
		for _, change := range detector.Tick(now) {
			fmt.Println(now.Unix(), "s:", change.ID, "is", names[change.To])
		}
		now = now.Add(time.Second)
	}
	// Output:
	// 0 s: worker-1 is joining
	// 0 s: worker-1 is alive
	// 5 s: worker-1 is suspect
	// 13 s: worker-1 is dead
}
