package gate

import "time"

type (
	// Probe is an event: the balancer asks whether this gate takes new work.
	Probe struct {
		Request RequestID
	}

	// Probed is an effect: the answer to a Probe. Reason says why the gate is not
	// ready.
	Probed struct {
		Request RequestID
		Reason  string
	}
)

// probe answers from what the gate itself knows. A region without a leader, or
// without its store, makes no gate less ready than the others.
func (g *Gate) probe(now time.Time, e Probe) {
	answer := Probed{Request: e.Request}
	switch {
	case g.departure.leaving:
		answer.Reason = "the gate shuts down"
	case !g.directory.fresh(now):
		answer.Reason = "the settings are not known to be the newest"
	}
	g.emit(answer)
}
