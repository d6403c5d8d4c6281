package gate

import "time"

type (
	// Probe is an event: the load balancer asks whether this gate is ready for
	// new work.
	Probe struct {
		Request RequestID
	}

	// Probed is an effect: the answer to a Probe. Reason is empty if the gate
	// is ready, and otherwise says why it is not.
	Probed struct {
		Request RequestID
		Reason  string
	}
)

// probe answers from the gate's own state only. A region without a leader or
// without its table is no reason to prefer another gate.
func (g *Gate) probe(now time.Time, e Probe) {
	answer := Probed{Request: e.Request}
	switch {
	case g.shutdown.begun:
		answer.Reason = "the gate is shutting down"
	case !g.settings.fresh(now):
		answer.Reason = "the settings are not confirmed to be the newest"
	}
	g.emit(answer)
}
