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

	// retransmission is the least time after which TCP sends a lost segment
	// again. It doubles with each loss.
	retransmission = 200 * time.Millisecond
)

// link draws the times of calls over a lossy link between two data centres.
type link struct {
	rng  *rand.Rand
	loss float64
}

// way returns the time that one segment takes, with its retransmissions.
func (l link) way() time.Duration {
	took := 5*time.Millisecond + time.Duration(l.rng.ExpFloat64()*float64(2*time.Millisecond))
	for wait := retransmission; l.rng.Float64() < l.loss; wait *= 2 {
		took += wait
	}
	return took
}

func (l link) call() time.Duration { return l.way() + l.way() }

// hedged returns the time of a call of which a copy is sent after the delay over
// another connection, whether it was sent, and whether it came first.
func (l link) hedged(delay time.Duration) (took time.Duration, fired, won bool) {
	first := l.call()
	if first <= delay {
		return first, false, false
	}
	second := delay + l.call()
	return min(first, second), true, second < first
}

func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// start returns the time in which a gang starts: each step waits for the
// slowest of its members.
func start(call func() time.Duration) time.Duration {
	var took time.Duration
	for range gangSteps {
		var slowest time.Duration
		for range gangSize {
			slowest = max(slowest, call())
		}
		took += slowest
	}
	return took
}

// TestHedge prints what copies of idempotent control messages win and cost. A
// gang starts without them well within the 2 s of urgent work.
func TestHedge(t *testing.T) {
	for _, loss := range []float64{0.001, 0.01, 0.05} {
		l := link{rng: rand.New(rand.NewPCG(11, uint64(loss*1000))), loss: loss}
		var plain []time.Duration
		for range calls {
			plain = append(plain, l.call())
		}
		delay := quantile(plain, 0.95)
		var fires, wins int
		for range calls {
			_, fired, won := l.hedged(delay)
			if fired {
				fires++
			}
			if won {
				wins++
			}
		}
		var without, with []time.Duration
		for range gangs {
			without = append(without, start(l.call))
			with = append(with, start(func() time.Duration {
				took, _, _ := l.hedged(delay)
				return took
			}))
		}
		t.Logf("loss %4.1f%%: delay %v, %.1f%% fire, %.0f%% of these win; start of a gang of %d at p50 %v with %v, at p99 %v with %v",
			100*loss, delay.Round(time.Millisecond), 100*float64(fires)/calls, 100*float64(wins)/float64(max(1, fires)), gangSize,
			quantile(without, 0.5).Round(time.Millisecond), quantile(with, 0.5).Round(time.Millisecond),
			quantile(without, 0.99).Round(time.Millisecond), quantile(with, 0.99).Round(time.Millisecond))
		if loss <= 0.01 && quantile(without, 0.99) > 2*time.Second {
			t.Errorf("loss %v: a gang starts in %v without copies", loss, quantile(without, 0.99))
		}
	}
}
