package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
)

// departure is the graceful shutdown of a gate.
type departure struct {
	leaving  bool
	resigned bool
	left     bool
	deadline time.Time
}

func (d *departure) begin(g *Gate, now time.Time) {
	if d.leaving {
		return
	}
	d.leaving = true
	d.deadline = now.Add(g.config.LeaveTimeout)
}

// check hands the leadership over once the leader's writes have landed, and says
// that the gate has left once nothing is open. While the store is down nobody
// else can lead, so the gate leads on until the bound.
func (d *departure) check(g *Gate, now time.Time) {
	if !d.leaving || d.left {
		return
	}
	late := !now.Before(d.deadline)
	if !d.resigned && (late || g.leader == nil || g.leader.idle()) {
		d.resigned = true
		g.elector.Resign(now)
		g.follow(now)
	}
	if late {
		g.front.dismiss()
	}
	if late || (d.resigned && g.elector.Vacant() && g.front.idle()) {
		d.left = true
		g.emit(Left{})
	}
}

// dismiss answers every open request with what is known of its job.
func (f *front) dismiss() {
	for _, r := range f.list() {
		if r.accepted && r.record.ID != "" {
			f.reply(r, r.record, nil)
			continue
		}
		f.reply(r, job.Record{}, &UnavailableError{Reason: "the gate shuts down", Ran: job.MayHaveRun})
	}
}
