package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/membership"
)

const second = time.Second

// group is a detector and members that report to it over lossy links.
type group struct {
	*membership.Detector[string, string]
	rng    *rand.Rand
	now    time.Time
	ids    []string
	loss   float64
	silent map[string]bool
	deaf   map[string]bool
	leaves map[string]bool
	seen   map[string][]membership.Change[string]
}

// newGroup returns a group of which all members are alive.
func newGroup(seed uint64, cells, size int) *group {
	g := &group{
		Detector: membership.NewDetector[string, string](),
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1_000_000, 0),
		silent:   make(map[string]bool),
		deaf:     make(map[string]bool),
		leaves:   make(map[string]bool),
		seen:     make(map[string][]membership.Change[string]),
	}
	for cell := range cells {
		for i := range size {
			id := fmt.Sprintf("%d/%02d", cell, i)
			g.ids = append(g.ids, id)
			g.Join(g.now, id, fmt.Sprint(cell))
			g.Admit(g.now, id)
		}
	}
	g.Tick(g.now)
	return g
}

// pass lets time pass. Members report in each interval and answer probes.
func (g *group) pass(duration time.Duration) {
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
			g.seen[change.ID] = append(g.seen[change.ID], change)
		}
	}
}

func (g *group) report(id string) {
	if !g.silent[id] && g.rng.Float64() >= g.loss {
		g.Heard(g.now, id, membership.Report{Deaf: g.deaf[id], Leaving: g.leaves[id]})
	}
}

func (g *group) expect(t *testing.T, id string, want membership.State, cause membership.Cause) {
	t.Helper()
	if state, why := g.State(id); state != want || why != cause {
		t.Errorf("%s is in state %v by cause %v, want %v by %v", id, state, why, want, cause)
	}
}

// TestLossyLinks loses a fifth of all messages for an hour at 232 members in 8
// cells. Nobody is taken for dead.
func TestLossyLinks(t *testing.T) {
	for seed := range uint64(3) {
		g := newGroup(seed, 8, 29)
		g.loss = 0.2
		g.pass(time.Hour)
		for id, changes := range g.seen {
			for _, change := range changes {
				if change.To == membership.Dead {
					t.Errorf("seed %d: %s was taken for dead", seed, id)
				}
			}
		}
	}
}

// TestApart tells the ways apart in which a member ceases to answer.
func TestApart(t *testing.T) {
	g := newGroup(1, 2, 5)
	g.silent["0/00"] = true
	g.silent["0/01"] = true
	g.deaf["0/02"] = true
	g.leaves["0/03"] = true
	g.pass(6 * second)
	g.expect(t, "0/00", membership.Suspect, membership.Silent)
	g.expect(t, "0/02", membership.Suspect, membership.Deaf)
	g.expect(t, "0/03", membership.Leaving, membership.NoCause)
	for _, id := range g.ids[:4] {
		if g.Usable(id) {
			t.Errorf("%s may get new work", id)
		}
	}
	g.silent["0/01"] = false
	g.pass(g.Config().DeadAfter())
	g.expect(t, "0/00", membership.Dead, membership.Silent)
	g.expect(t, "0/01", membership.Alive, membership.NoCause)
	g.silent["0/00"] = false
	g.pass(time.Minute)
	g.expect(t, "0/00", membership.Dead, membership.Silent)
	g.expect(t, "0/02", membership.Suspect, membership.Deaf)
	if !g.Usable("0/04") || !g.Usable("1/00") {
		t.Error("a member that reports may not get work")
	}
}

// TestCrashBound finds a crashed member, and one that leaves, in a bounded time.
func TestCrashBound(t *testing.T) {
	g := newGroup(2, 1, 5)
	g.silent["0/00"], g.silent["0/01"] = true, true
	g.leaves["0/01"] = true
	g.Heard(g.now, "0/01", membership.Report{Leaving: true})
	g.pass(g.Config().SuspectAfter() + second)
	g.expect(t, "0/01", membership.Leaving, membership.NoCause)
	g.pass(g.Config().DeadAfter() - g.Config().SuspectAfter())
	g.expect(t, "0/00", membership.Dead, membership.Silent)
	g.expect(t, "0/01", membership.Dead, membership.Silent)
	g.silent["0/02"] = true
	g.pass(g.Config().DeadAfter() + second)
	g.expect(t, "0/02", membership.Dead, membership.Silent)
}

// TestCutOff cuts most of a cell off: it is not emptied before the hold ends,
// and a crash elsewhere is found meanwhile.
func TestCutOff(t *testing.T) {
	g := newGroup(3, 3, 5)
	for _, id := range g.ids[:4] {
		g.silent[id] = true
	}
	g.silent["1/00"] = true
	g.pass(membership.DefaultHold)
	g.expect(t, "0/00", membership.Suspect, membership.CutOff)
	g.expect(t, "1/00", membership.Dead, membership.Silent)
	if !g.Usable("0/04") || g.Usable("0/00") {
		t.Error("the silent part of the cell may get work, or the rest not")
	}
	g.pass(g.Config().DeadAfter())
	g.expect(t, "0/00", membership.Dead, membership.Silent)
	g = newGroup(3, 3, 5)
	for _, id := range g.ids[:4] {
		g.silent[id] = true
	}
	g.pass(time.Minute)
	clear(g.silent)
	g.pass(5 * second)
	for _, id := range g.ids {
		g.expect(t, id, membership.Alive, membership.NoCause)
	}
}

// TestLessThanHalf gives up four of nine members of a cell.
func TestLessThanHalf(t *testing.T) {
	g := newGroup(6, 1, 9)
	for _, id := range g.ids[:4] {
		g.silent[id] = true
	}
	g.pass(g.Config().DeadAfter() + second)
	g.expect(t, "0/03", membership.Dead, membership.Silent)
}

// TestFlapping holds a member down that comes and goes, until it has been quiet.
func TestFlapping(t *testing.T) {
	g := newGroup(4, 1, 9)
	for range 6 {
		g.silent["0/00"] = true
		g.pass(7 * second)
		g.silent["0/00"] = false
		g.pass(7 * second)
	}
	g.expect(t, "0/00", membership.Alive, membership.NoCause)
	if g.Usable("0/00") {
		t.Error("a flapping member may get new work")
	}
	g.pass(4 * membership.DefaultQuiet)
	if !g.Usable("0/00") {
		t.Error("a member that has been quiet may not get new work")
	}
	for range 6 {
		g.silent["0/01"] = true
		g.pass(7 * second)
		g.silent["0/01"] = false
		g.Join(g.now, "0/01", "0")
		g.Admit(g.now, "0/01")
	}
	if g.Usable("0/01") {
		t.Error("a member that restarts again and again may get new work")
	}
}

// TestJoining gives no work to a member before it is admitted.
func TestJoining(t *testing.T) {
	g := newGroup(5, 1, 3)
	g.Join(g.now, "new", "0")
	g.Heard(g.now, "new", membership.Report{})
	g.expect(t, "new", membership.Joining, membership.NoCause)
	if g.Usable("new") {
		t.Error("it may get new work")
	}
	g.Admit(g.now, "new")
	if !g.Usable("new") {
		t.Error("it may not get new work")
	}
	g.Heard(g.now, "new", membership.Report{Leaving: true})
	g.Join(g.now, "new", "0")
	g.Admit(g.now, "new")
	if !g.Usable("new") {
		t.Error("another life may not get new work")
	}
	g.Remove("new")
	g.expect(t, "new", membership.Unknown, membership.NoCause)
}

// A member falls silent.
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
