// Package caller serves the HTTP API with which clients submit, look up and
// cancel jobs and fetch their answers.
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
	// MaxBodyBytes is the largest request body, in bytes.
	MaxBodyBytes = 256 << 10

	// MaxWait is the longest time for which one request may wait for a job. It is
	// also the time-out of reading an answer from the object store.
	MaxWait = 10 * time.Minute

	// IdempotencyKeyHeader is the request header with the idempotency key of a
	// submission.
	IdempotencyKeyHeader = "Idempotency-Key"

	// AccountHeader is the request header that names the account in requests
	// without a body.
	AccountHeader = "Lovageroad-Account"
)

type (
	// Server handles client requests: it turns each into an event of the gate's
	// state machine and writes the reply as the HTTP response. It is safe for use
	// by several goroutines.
	Server struct {
		objects  table.Objects
		exchange *loop.Exchange[gate.RequestID, gate.Reply]
	}

	// jobBody is the response body with the state of a job.
	jobBody struct {
		ID        job.ID        `json:"id"`
		Account   string        `json:"account"`
		Class     string        `json:"class"`
		State     job.State     `json:"state"`
		Attempt   int           `json:"attempt,omitempty"`
		Ran       job.RunStatus `json:"ran,omitempty"`
		Reason    string        `json:"reason,omitempty"`
		Submitted time.Time     `json:"submitted"`
		Started   time.Time     `json:"started,omitzero"`
		Ended     time.Time     `json:"ended,omitzero"`
		Length    int           `json:"length,omitempty"`
		Digest    string        `json:"digest,omitempty"`
	}
)

// New returns a server that posts the requests as events to the gate, and reads
// large answers from objects.
func New(post func(ctx context.Context, event machine.Event) bool, objects table.Objects) *Server {
	return &Server{objects: objects, exchange: loop.NewExchange[gate.RequestID, gate.Reply](post)}
}

// Routes adds the API's routes to the router.
func (s *Server) Routes(r chi.Router) {
	r.Post("/v1/jobs", s.submit)
	r.Get("/v1/jobs/{id}", s.get)
	r.Get("/v1/jobs/{id}/answer", s.answer)
	r.Delete("/v1/jobs/{id}", s.cancel)
}

// Handle delivers a reply of the gate to the request that waits for it, and
// ignores all other effects.
func (s *Server) Handle(effect machine.Effect) {
	if reply, ok := effect.(gate.Reply); ok {
		s.exchange.Answer(reply.Request, reply)
	}
}

// submit accepts a job under an idempotency key. It responds with the answer or the
// problem if the job ends within the time for which the client waits, and otherwise
// with 202 and the job's state.
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
	event := gate.Submit{ID: job.NewID(spec.Account, key), Spec: spec, BodyDigest: digest, Token: tokenHash(r), Wait: wait}
	reply, ok := s.ask(r.Context(), func(id gate.RequestID) machine.Event {
		event.Request = id
		return event
	})
	if !ok {
		return
	}
	s.respond(w, reply, http.StatusAccepted)
}

// get responds with the state of a job, after the job has ended or the time
// for which the client waits is over.
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

// answer responds with the answer, the problem or the state of a job, as submit
// does.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	if reply, ok := s.lookup(w, r); ok {
		s.respond(w, reply, http.StatusAccepted)
	}
}

// cancel cancels a job and responds with its state.
func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	event := gate.Cancel{Account: accountOf(r), Token: tokenHash(r), ID: job.ID(chi.URLParam(r, "id"))}
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

// lookup asks the gate for the job that the path names. It returns false if an
// error response has been written or the client has disconnected.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) (gate.Reply, bool) {
	wait, err := preferredWait(r)
	if err != nil {
		writeProblem(w, problemOf(err))
		return gate.Reply{}, false
	}
	event := gate.Lookup{Account: accountOf(r), Token: tokenHash(r), ID: job.ID(chi.URLParam(r, "id")), Wait: wait}
	return s.ask(r.Context(), func(id gate.RequestID) machine.Event {
		event.Request = id
		return event
	})
}

// ask posts a request to the gate and waits for the reply. It returns false if
// the client has disconnected.
func (s *Server) ask(ctx context.Context, event func(gate.RequestID) machine.Event) (gate.Reply, bool) {
	return s.exchange.Ask(ctx, event, func(id gate.RequestID) machine.Event { return gate.Disconnected{Request: id} })
}

// respond writes the answer of a job that is done, a problem for a job that ended
// without an answer, and otherwise the job's state with the given status.
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
		writeProblem(w, outcomeProblem(record))
	default:
		w.Header().Set("Location", "/v1/jobs/"+string(record.ID))
		writeJob(w, status, record)
	}
}

// writeAnswer writes the answer with its digest, or status 503 if it cannot be
// read or does not have its recorded length and digest.
func (s *Server) writeAnswer(w http.ResponseWriter, record job.Record) {
	answer := record.Answer
	data := answer.Data
	if answer.Object != "" {
		ctx, cancel := context.WithTimeout(context.Background(), MaxWait)
		defer cancel()
		stored, err := s.objects.Get(ctx, answer.Object)
		if err != nil {
			writeProblem(w, Problem{Details: problem.Details{Status: http.StatusServiceUnavailable, Detail: "the answer cannot be read from the object store at present"}, Job: record.ID})
			return
		}
		data = stored
	}
	if !answer.Matches(data) {
		writeProblem(w, Problem{Details: problem.Details{Status: http.StatusServiceUnavailable, Detail: "the answer is truncated or corrupt: it does not have its recorded length and digest"}, Job: record.ID})
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

// outcomeProblem returns the problem for a job that ended without an answer. A
// refused job has status 422 if its shape can never be placed, and otherwise 503.
func outcomeProblem(record job.Record) Problem {
	p := Problem{Details: problem.Details{Status: http.StatusConflict, Detail: record.Reason}, Job: record.ID, Ran: record.Ran}
	switch record.State {
	case job.StateRefused:
		p.Status = http.StatusServiceUnavailable
		if record.Permanent {
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

// tokenHash returns the hash of the bearer token.
func tokenHash(r *http.Request) account.TokenHash {
	bearer := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return account.HashToken(bearer)
}

// preferredWait returns the deadline up to which the client waits, from the wait
// preference of the header Prefer (RFC 7240), capped at MaxWait. It returns the
// zero time if there is none.
func preferredWait(r *http.Request) (time.Time, error) {
	for _, preference := range strings.Split(r.Header.Get("Prefer"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(preference), "wait=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return time.Time{}, &RequestError{Field: "Prefer", Reason: "wait must be a number of seconds, zero or more", Status: http.StatusBadRequest}
		}
		return time.Now().Add(min(time.Duration(seconds)*time.Second, MaxWait)), nil
	}
	return time.Time{}, nil
}

// idempotencyKey returns the key of a submission without the quotes of a structured
// header. It returns a RequestError if the key is absent or too long.
func idempotencyKey(r *http.Request) (string, error) {
	key := strings.Trim(r.Header.Get(IdempotencyKeyHeader), `"`)
	if key == "" || len(key) > MaxNameBytes {
		return "", &RequestError{Field: IdempotencyKeyHeader, Reason: "a key of 1 to 255 bytes is required", Status: http.StatusBadRequest}
	}
	return key, nil
}
