package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// MaxBody is the largest request body in bytes.
	MaxBody = 64 << 20
)

type (
	// Server serves a Memory over HTTP. PUT /fault sets the simulated failure and the
	// delay of all other requests; GET /counts returns the numbers of operations.
	Server struct {
		memory *Memory

		// delay always holds one value, the delay of each request.
		delay chan time.Duration
	}

	// faultBody is the body of PUT /fault. Delay is a duration such as "50ms".
	faultBody struct {
		Fault Fault  `json:"fault"`
		Delay string `json:"delay,omitempty"`
	}

	// commitBody is the response to a commit: the new version, or the check that did
	// not hold.
	commitBody struct {
		Version  table.Version        `json:"version"`
		Conflict *table.ConflictError `json:"conflict,omitempty"`
	}
)

// NewServer returns an HTTP handler that serves a Memory.
func NewServer(memory *Memory) http.Handler {
	s := &Server{memory: memory, delay: make(chan time.Duration, 1)}
	s.delay <- 0
	r := chi.NewRouter()
	r.Use(s.delayRequests)
	r.Post("/v1/commit", s.commit)
	r.Post("/v1/read", s.read)
	r.Get("/v1/rows", s.scan)
	r.Put("/v1/objects/*", s.put)
	r.Get("/v1/objects/*", s.get)
	r.Put("/fault", s.fault)
	r.Get("/counts", s.counts)
	return r
}

// delayRequests delays requests by the time that was set, except those to
// /fault.
func (s *Server) delayRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		delay := <-s.delay
		s.delay <- delay
		if delay > 0 && r.URL.Path != "/fault" {
			time.Sleep(delay)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var body faultBody
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var delay time.Duration
	if body.Delay != "" {
		parsed, err := time.ParseDuration(body.Delay)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		delay = parsed
	}
	switch body.Fault {
	case FaultNone, FaultDown, FaultResponseLost:
	default:
		http.Error(w, "fault must be none, down or lost", http.StatusBadRequest)
		return
	}
	<-s.delay
	s.delay <- delay
	s.memory.SetFault(body.Fault)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.memory.Counts())
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn table.Txn
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := s.memory.Commit(r.Context(), txn)
	var conflict *table.ConflictError
	if errors.As(err, &conflict) {
		writeJSON(w, http.StatusConflict, commitBody{Conflict: conflict})
		return
	}
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, commitBody{Version: version})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	var keys []table.Key
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&keys); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, err := s.memory.Read(r.Context(), keys)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, rows)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		http.Error(w, "limit must be an integer above zero", http.StatusBadRequest)
		return
	}
	rows, err := s.memory.Scan(r.Context(), table.Key(query.Get("prefix")), table.Key(query.Get("after")), limit)
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, rows)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.memory.Put(r.Context(), chi.URLParam(r, "*"), data); err != nil {
		fail(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	data, err := s.memory.Get(r.Context(), chi.URLParam(r, "*"))
	var missing *table.NotFoundError
	if errors.As(err, &missing) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		fail(w, err)
		return
	}
	if _, err := w.Write(data); err != nil {
		return
	}
}

// fail answers with status 503, or closes the connection without a response if the
// error is a table.UncertainError.
func fail(w http.ResponseWriter, err error) {
	var uncertain *table.UncertainError
	if errors.As(err, &uncertain) {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
