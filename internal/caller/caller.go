// Package caller serves the interface for callers over HTTP.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/problem"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// MaxBody is the largest body in bytes of a caller's request.
	MaxBody = 256 << 10

	// MaxWait bounds the time that a caller may wait in one request.
	MaxWait = 10 * time.Minute

	// KeyHeader is the header of the idempotency key.
	KeyHeader = "Idempotency-Key"

	// AccountHeader is the header that names the account of a request without a
	// body.
	AccountHeader = "Lovageroad-Account"
)

type (
	// Server serves callers.
	Server struct {
		objects  table.Objects
		exchange *loop.Exchange[gate.RequestID, gate.Reply]
	}

	jobBody struct {
		ID        job.ID    `json:"id"`
		Account   string    `json:"account"`
		Class     string    `json:"class"`
		State     job.State `json:"state"`
		Attempt   int       `json:"attempt,omitempty"`
		Ran       job.Ran   `json:"ran,omitempty"`
		Reason    string    `json:"reason,omitempty"`
		Submitted time.Time `json:"submitted"`
		Started   time.Time `json:"started,omitzero"`
		Ended     time.Time `json:"ended,omitzero"`
		Length    int       `json:"length,omitempty"`
		Digest    string    `json:"digest,omitempty"`
	}
)

// New returns a server that hands requests to the gate by post.
func New(post func(ctx context.Context, event machine.Event) bool, objects table.Objects) *Server {
	return &Server{objects: objects, exchange: loop.NewExchange[gate.RequestID, gate.Reply](post)}
}

// Routes adds the routes for callers.
func (s *Server) Routes(r chi.Router) {
	r.Post("/v1/jobs", s.submit)
	r.Get("/v1/jobs/{id}", s.get)
	r.Get("/v1/jobs/{id}/answer", s.answer)
	r.Delete("/v1/jobs/{id}", s.cancel)
}

// Handle passes a reply of the gate to the request that waits for it.
func (s *Server) Handle(effect machine.Effect) {
	if reply, ok := effect.(gate.Reply); ok {
		s.exchange.Answer(reply.Request, reply)
	}
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	key, err := idempotencyKey(r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	spec, digest, err := parseSpec(w, r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	wait, err := preferredWait(r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return
	}
	event := gate.Submit{ID: job.NewID(spec.Account, key), Spec: spec, Body: digest, Token: token(r), Wait: wait}
	reply, ok := s.ask(r.Context(), func(id gate.RequestID) machine.Event {
		event.Request = id
		return event
	})
	if !ok {
		return
	}
	s.respond(w, reply, http.StatusAccepted)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.lookup(w, r)
	if !ok {
		return
	}
	if reply.Err != nil {
		writeProblem(w, problemOf(reply.Err))
		return
	}
	writeJob(w, http.StatusOK, reply.Record)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	if reply, ok := s.lookup(w, r); ok {
		s.respond(w, reply, http.StatusAccepted)
	}
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	event := gate.Cancel{Account: accountOf(r), Token: token(r), ID: job.ID(chi.URLParam(r, "id"))}
	reply, ok := s.ask(r.Context(), func(id gate.RequestID) machine.Event {
		event.Request = id
		return event
	})
	if !ok {
		return
	}
	if reply.Err != nil {
		writeProblem(w, problemOf(reply.Err))
		return
	}
	writeJob(w, http.StatusOK, reply.Record)
}

// lookup asks the gate for the job that the path names. It returns false if the
// caller has its answer already, or has gone.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) (gate.Reply, bool) {
	wait, err := preferredWait(r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return gate.Reply{}, false
	}
	event := gate.Lookup{Account: accountOf(r), Token: token(r), ID: job.ID(chi.URLParam(r, "id")), Wait: wait}
	return s.ask(r.Context(), func(id gate.RequestID) machine.Event {
		event.Request = id
		return event
	})
}

// ask hands a request to the gate and waits for its reply. It returns false if
// the caller has gone.
func (s *Server) ask(ctx context.Context, event func(gate.RequestID) machine.Event) (gate.Reply, bool) {
	return s.exchange.Ask(ctx, event, func(id gate.RequestID) machine.Event { return gate.Abandon{Request: id} })
}

// respond writes the whole answer of a job that is done, the refusal of one that
// ended otherwise, and else the job's state with the given status.
func (s *Server) respond(w http.ResponseWriter, reply gate.Reply, status int) {
	if reply.Err != nil {
		writeProblem(w, problemOf(reply.Err))
		return
	}
	record := reply.Record
	switch {
	case record.State == job.StateDone:
		s.writeAnswer(w, record)
	case record.State.Final():
		writeProblem(w, endProblem(record))
	default:
		w.Header().Set("Location", "/v1/jobs/"+string(record.ID))
		writeJob(w, status, record)
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, record job.Record) {
	answer := record.Answer
	data := answer.Data
	if answer.Object != "" {
		ctx, cancel := context.WithTimeout(context.Background(), MaxWait)
		defer cancel()
		stored, err := s.objects.Get(ctx, answer.Object)
		if err != nil {
			writeProblem(w, Problem{Details: problem.Details{Status: http.StatusServiceUnavailable, Detail: "the answer cannot be read now"}, Job: record.ID})
			return
		}
		data = stored
	}
	if !answer.Whole(data) {
		writeProblem(w, Problem{Details: problem.Details{Status: http.StatusServiceUnavailable, Detail: "the answer is not whole"}, Job: record.ID})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(answer.Length))
	w.Header().Set("Repr-Digest", reprDigest(answer.Digest))
	w.Header().Set("Content-Location", "/v1/jobs/"+string(record.ID)+"/answer")
	if _, err := w.Write(data); err != nil {
		return
	}
}

func endProblem(record job.Record) Problem {
	p := Problem{Details: problem.Details{Status: http.StatusConflict, Detail: record.Reason}, Job: record.ID, Ran: record.Ran}
	switch record.State {
	case job.StateRefused:
		p.Status = http.StatusServiceUnavailable
		if record.Never {
			p.Status, p.Field = http.StatusUnprocessableEntity, "shape"
		}
	case job.StateFailed:
		p.Status = http.StatusBadGateway
	case job.StateUnknown:
		p.Status = http.StatusGatewayTimeout
	case job.StateCancelled:
		p.Status = http.StatusGone
	}
	return p
}

func writeJob(w http.ResponseWriter, status int, record job.Record) {
	body := jobBody{
		ID:        record.ID,
		Account:   string(record.Spec.Account),
		Class:     string(record.Spec.Class),
		State:     record.State,
		Attempt:   int(record.Attempt),
		Ran:       record.Ran,
		Reason:    record.Reason,
		Submitted: record.Submitted,
		Started:   record.Started,
		Ended:     record.Ended,
	}
	if record.Answer != nil {
		body.Length = record.Answer.Length
		body.Digest = string(record.Answer.Digest)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}

func accountOf(r *http.Request) account.Name {
	return account.Name(r.Header.Get(AccountHeader))
}

func token(r *http.Request) account.TokenHash {
	bearer := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return account.HashToken(bearer)
}

// preferredWait returns the time until which the caller waits, by the header
// Prefer of RFC 7240.
func preferredWait(r *http.Request) (time.Time, error) {
	for _, preference := range strings.Split(r.Header.Get("Prefer"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(preference), "wait=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return time.Time{}, &FieldError{Field: "Prefer", Reason: "wait is a number of seconds", Status: http.StatusBadRequest}
		}
		return time.Now().Add(min(time.Duration(seconds)*time.Second, MaxWait)), nil
	}
	return time.Time{}, nil
}

func idempotencyKey(r *http.Request) (string, error) {
	key := strings.Trim(r.Header.Get(KeyHeader), `"`)
	if key == "" || len(key) > MaxKey {
		return "", &FieldError{Field: KeyHeader, Reason: "a key of 1 to 255 bytes is required", Status: http.StatusBadRequest}
	}
	return key, nil
}
