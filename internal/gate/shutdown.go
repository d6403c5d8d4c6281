package gate

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
)

// shutdown is the progress of the graceful shutdown of a gate.
type shutdown struct {
	begun    bool
	resigned bool
	done     bool
	deadline time.Time
}

// begin starts the shutdown and its time-out.
func (s *shutdown) begin(g *Gate, now time.Time) {
	if s.begun {
		return
	}
	s.begun = true
	s.deadline = now.Add(g.config.ShutdownTimeout)
}

// check resigns the leadership once the leader's writes are complete, and emits
// ShutdownComplete once no request is open. While the table is unavailable no other gate
// can be elected, so this one goes on leading until the deadline.
func (s *shutdown) check(g *Gate, now time.Time) {
	if !s.begun || s.done {
		return
	}
	timedOut := !now.Before(s.deadline)
	if !s.resigned && (timedOut || g.leader == nil || g.leader.idle()) {
		s.resigned = true
		g.elector.Resign(now)
		g.applyLease(now)
	}
	if timedOut {
		g.handler.replyToAll()
	}
	if timedOut || (s.resigned && g.elector.Released() && g.handler.idle()) {
		s.done = true
		g.emit(ShutdownComplete{})
	}
}

// replyToAll answers every open request with the last known state of its job.
func (h *requestHandler) replyToAll() {
	for _, r := range h.sortedRequests() {
		if r.accepted && r.record.ID != "" {
			h.reply(r, r.record, nil)
			continue
		}
		h.reply(r, job.Record{}, &UnavailableError{Reason: "the gate is shutting down", Ran: job.MayHaveRun})
	}
}
