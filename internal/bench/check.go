package bench

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

const (
	// MaxClaimTime is the longest time for which a job may claim guaranteed
	// capacity of its account before it starts.
	MaxClaimTime = time.Minute

	// MaxUrgentWait is the time within which urgent work has to start.
	MaxUrgentWait = 2 * time.Second
)

type (
	// claim is the claim of a waiting job to guaranteed capacity of its account.
	// An excluded claim is not measured, because workers were lost or failing
	// while it was active.
	claim struct {
		active   bool
		excluded bool
		since    time.Duration
	}
)

// adjacencyBreadth orders adjacencies from the tightest to the loosest.
var adjacencyBreadth = map[floor.Adjacency]int{
	floor.AdjacentWorker: 0, floor.AdjacentRack: 1, floor.AdjacentDataCentre: 2, floor.AdjacentRegion: 3,
}

// invalidStart returns what is wrong with a start, or an empty string.
func (sm *simulation) invalidStart(j *jobState, placement floor.Placement) string {
	switch {
	case j == nil:
		return "unknown job started"
	case j.phase != waiting:
		return "started though it does not wait"
	case len(placement) != j.Shape.Workers:
		return fmt.Sprintf("%d members started instead of %d", len(placement), j.Shape.Workers)
	}
	seen := make(map[floor.WorkerID]bool)
	first := sm.machines[placement[0].Worker]
	for _, allocation := range placement {
		m := sm.machines[allocation.Worker]
		if m == nil || m.lost || seen[allocation.Worker] {
			return "started on a worker that is lost or has a member already"
		}
		seen[allocation.Worker] = true
		if reason := m.invalidAllocation(j.Shape, allocation); reason != "" {
			return reason
		}
		if (j.Shape.Adjacency == floor.AdjacentRack && (m.Rack != first.Rack || m.DataCentre != first.DataCentre)) ||
			(j.Shape.Adjacency == floor.AdjacentDataCentre && m.DataCentre != first.DataCentre) {
			return "members are not adjacent"
		}
	}
	return ""
}

// invalidAllocation returns what is wrong with the resources that a start assigns
// to one member on the machine, or an empty string.
func (m *machine) invalidAllocation(s floor.Shape, allocation floor.Allocation) string {
	switch {
	case allocation.Accelerators.Count() != s.Accelerators || bits.Len64(uint64(allocation.Accelerators)) > m.Worker.Accelerators:
		return "wrong accelerators"
	case allocation.Accelerators&m.usedAccelerators != 0:
		return "accelerators are in use"
	case allocation.Cores < s.Cores || m.usedCores+allocation.Cores > m.Cores:
		return "too few cores"
	case allocation.Memory < s.Memory || m.usedMemory+allocation.Memory > m.Memory:
		return "too little memory"
	case m.usedSlots >= m.Slots:
		return "no slot"
	}
	return ""
}

// updateUsage allocates the resources of a job's placement if the sign is 1, and
// frees them if it is -1.
func (sm *simulation) updateUsage(j *jobState, sign int) {
	for _, allocation := range j.placement {
		m := sm.machines[allocation.Worker]
		m.usedAccelerators ^= allocation.Accelerators
		m.usedCores += sign * allocation.Cores
		m.usedMemory += floor.MiB(sign) * allocation.Memory
		m.usedSlots += sign
	}
	sm.updateDraw(j, sign)
	sm.markChanged(j)
}

// updateDraw adds or subtracts the power that a job draws on its workers.
func (sm *simulation) updateDraw(j *jobState, sign int) {
	for _, allocation := range j.placement {
		watts := floor.Watts(float64(acceleratorDraw) * float64(allocation.Accelerators.Count()) * j.drawFactor * j.speed)
		sm.machines[allocation.Worker].draw += floor.Watts(sign) * watts
		sm.averages.draw += floor.Watts(sign) * watts
	}
}

// updateClaims determines the claims of all accounts whose jobs or guarantees
// have changed.
func (sm *simulation) updateClaims() {
	for name, a := range sm.accounts {
		if len(a.Parameters.Guarantees) > 0 && sm.changedAccounts[name] {
			sm.updateClaimsOf(a)
		}
	}
	clear(sm.changedAccounts)
}

// updateClaimsOf determines which waiting jobs of an account have a claim. It
// assigns the guaranteed shapes to the running jobs first, then to the waiting
// ones by the account's order of classes and by arrival; each job takes the
// smallest unused shape that contains its own. A waiting job that gets one and
// has not failed yet has a claim.
func (sm *simulation) updateClaimsOf(a account.Account) {
	unused := slices.Clone(a.Parameters.Guarantees)
	slices.SortStableFunc(unused, func(x, y account.Guarantee) int {
		return cmp.Compare(acceleratorCount(x.Shape), acceleratorCount(y.Shape))
	})
	jobs := slices.Clone(sm.activeJobs[a.Name])
	slices.SortStableFunc(jobs, func(x, y *jobState) int {
		return cmp.Or(
			compareBool(y.phase != waiting, x.phase != waiting),
			cmp.Compare(classRank(a, x.Class), classRank(a, y.Class)),
			cmp.Compare(x.Arrival, y.Arrival),
		)
	})
	for _, j := range jobs {
		index := slices.IndexFunc(unused, func(g account.Guarantee) bool { return g.Count > 0 && contains(g.Shape, j.Shape) })
		if index >= 0 {
			unused[index].Count--
		}
		if j.phase != waiting {
			continue
		}
		hasClaim := index >= 0 && j.failures == 0
		if hasClaim && !j.claim.active {
			j.claim = claim{active: true, since: sm.now, excluded: sm.impairments > 0}
		}
		j.claim.active = hasClaim
	}
}

// recordClaim records how long a job that starts now has had a claim.
func (sm *simulation) recordClaim(j *jobState) {
	if !j.claim.active || j.claim.excluded {
		j.claim = claim{}
		return
	}
	took := sm.now - j.claim.since
	j.claim = claim{}
	sm.result.ClaimTimes = append(sm.result.ClaimTimes, took)
	if took > MaxClaimTime {
		sm.result.LateClaims = append(sm.result.LateClaims, describeDelay(j, "claimed", took))
	}
}

// changeImpairments records that part of the floor is lost or failing (by 1), or
// works again (by -1). It excludes all active claims from the measurement.
func (sm *simulation) changeImpairments(by int) {
	if sm.impairments > 0 {
		sm.impairedTime += sm.now - sm.impairedSince
	}
	sm.impairments += by
	sm.impairedSince = sm.now
	for _, j := range sm.jobs {
		j.claim.excluded = true
	}
}

// recordInvalidDecision adds an invalid decision of the policy to the result.
func (sm *simulation) recordInvalidDecision(id job.ID, reason string) {
	sm.result.InvalidDecisions = append(sm.result.InvalidDecisions, fmt.Sprintf("%v %s: %s", sm.now, id, reason))
}

// describeDelay describes a job that had to wait too long.
func describeDelay(j *jobState, what string, took time.Duration) string {
	return fmt.Sprintf("%s of %s/%s (%d x %d, submitted %v, ran %v) %s for %v",
		j.ID, j.Account, j.Class, j.Shape.Workers, j.Shape.Accelerators, j.Arrival, j.Run, what, took)
}

// contains reports whether a job of shape s fits into the guaranteed shape.
func contains(guaranteed, s floor.Shape) bool {
	return s.Workers <= guaranteed.Workers &&
		s.Accelerators <= guaranteed.Accelerators &&
		s.Cores <= guaranteed.Cores &&
		s.Memory <= guaranteed.Memory &&
		(s.Workers == 1 || adjacencyBreadth[guaranteed.Adjacency] <= adjacencyBreadth[s.Adjacency])
}

// acceleratorCount returns the accelerators of all members together.
func acceleratorCount(s floor.Shape) int {
	return s.Workers * s.Accelerators
}

// classRank returns the index of a class in its account's order. Classes that are
// not listed come last.
func classRank(a account.Account, class account.Class) int {
	if i := slices.Index(a.Parameters.Order, class); i >= 0 {
		return i
	}
	return len(a.Parameters.Order)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	default:
		return -1
	}
}
