package peer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	calls     = 20000
	gangSize  = 64
	gangSteps = 2
	gangs     = 500

	// minRetransmissionTimeout is the minimum time-out after which TCP retransmits
	// a lost segment. It doubles with each loss.
	minRetransmissionTimeout = 200 * time.Millisecond
)

// link draws random durations of calls over a lossy link between two data
// centres.
type link struct {
	rng  *rand.Rand
	loss float64
}

// oneWay returns the time in which one segment arrives, including its
// retransmissions.
func (l link) oneWay() time.Duration {
	took := 5*time.Millisecond + time.Duration(l.rng.ExpFloat64()*float64(2*time.Millisecond))
	for wait := minRetransmissionTimeout; l.rng.Float64() < l.loss; wait *= 2 {
		took += wait
	}
	return took
}

func (l link) roundTrip() time.Duration { return l.oneWay() + l.oneWay() }

// hedged returns the time of a hedged call: if there is no answer after the
// delay, a copy is sent over another connection. It also returns whether the
// copy was sent, and whether it was answered first.
func (l link) hedged(delay time.Duration) (took time.Duration, copySent, copyWon bool) {
	first := l.roundTrip()
	if first <= delay {
		return first, false, false
	}
	second := delay + l.roundTrip()
	return min(first, second), true, second < first
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// gangStart returns the time in which a gang starts: each step waits for the
// slowest of its members.
func gangStart(roundTrip func() time.Duration) time.Duration {
	var took time.Duration
	for range gangSteps {
		var slowest time.Duration
		for range gangSize {
			slowest = max(slowest, roundTrip())
		}
		took += slowest
	}
	return took
}

// TestHedge logs what hedging idempotent control messages gains and costs. It
// checks that, if at most 1 % of segments are lost, 99 % of gangs start without
// hedging within the 2 s that urgent work allows.
func TestHedge(t *testing.T) {
	for _, loss := range []float64{0.001, 0.01, 0.05} {
		l := link{rng: rand.New(rand.NewPCG(11, uint64(loss*1000))), loss: loss}
		var durations []time.Duration
		for range calls {
			durations = append(durations, l.roundTrip())
		}
		delay := quantile(durations, 0.95)
		var copiesSent, copiesWon int
		for range calls {
			_, copySent, copyWon := l.hedged(delay)
			if copySent {
				copiesSent++
			}
			if copyWon {
				copiesWon++
			}
		}
		var without, with []time.Duration
		for range gangs {
			without = append(without, gangStart(l.roundTrip))
			with = append(with, gangStart(func() time.Duration {
				took, _, _ := l.hedged(delay)
				return took
			}))
		}
		t.Logf("loss %4.1f%%: delay %v, copies of %.1f%% of calls, %.0f%% of them answered first; a gang of %d starts at p50 in %v, hedged in %v, at p99 in %v, hedged in %v",
			100*loss, delay.Round(time.Millisecond), 100*float64(copiesSent)/calls, 100*float64(copiesWon)/float64(max(1, copiesSent)), gangSize,
			quantile(without, 0.5).Round(time.Millisecond), quantile(with, 0.5).Round(time.Millisecond),
			quantile(without, 0.99).Round(time.Millisecond), quantile(with, 0.99).Round(time.Millisecond))
		if loss <= 0.01 && quantile(without, 0.99) > 2*time.Second {
			t.Errorf("loss %v: a gang starts at p99 in %v without hedging, want at most 2s", loss, quantile(without, 0.99))
		}
	}
}
