// Package console serves the state of a region to operators over HTTP: as JSON
// for programs and as a page for browsers. It is read-only.
package console

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"html/template"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// Timeout is the longest time for which a request waits for the leader's answer.
const Timeout = 12 * time.Second

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

type (
	// Server handles the console's requests. It asks the gate, which gets the
	// answer from the region's leader.
	Server struct {
		exchange *loop.Exchange[gate.RequestID, gate.Inspected]
	}

	// Status is the state of a region as the leader reports it: the holder of the
	// lease, the workers and the queues.
	Status struct {
		Leader lease.Lease `json:"leader"`
		scheduler.Overview
	}

	// pageData is the data of the page template, which reads the fields by their
	// names. Waits is the number of waiting jobs of all accounts.
	pageData struct {
		Status
		Racks []rackView
		Waits int
	}

	// rackView is a rack with its workers. Name includes the data centre.
	rackView struct {
		Name    string
		Workers []workerView
	}

	// workerView is a worker with its accelerators, which the page shows as cells.
	workerView struct {
		scheduler.WorkerState
		Cells []acceleratorView
	}

	// acceleratorView is an accelerator of a worker.
	acceleratorView struct {
		Index int
		Busy  bool
	}
)

// New returns a server that posts its requests as events to the gate.
func New(post func(ctx context.Context, event machine.Event) bool) *Server {
	return &Server{exchange: loop.NewExchange[gate.RequestID, gate.Inspected](post)}
}

// Routes adds the console's routes to the router, behind the middleware
// authenticate.
func (s *Server) Routes(r chi.Router, authenticate func(http.Handler) http.Handler) {
	r.Group(func(r chi.Router) {
		r.Use(authenticate)
		r.Get("/v1/status", s.status)
		r.Get("/v1/explanations/{id}", s.explain)
		r.Get("/", s.page)
	})
}

// Handle delivers a reply of the gate to the request that waits for it, and
// ignores all other effects.
func (s *Server) Handle(effect machine.Effect) {
	if reply, ok := effect.(gate.Inspected); ok {
		s.exchange.Answer(reply.Request, reply)
	}
}

// ask gets the state of the region or, with a job's identifier, the explanation
// of why the job waits. If it gets none, it writes an error response and returns
// false.
func (s *Server) ask(w http.ResponseWriter, r *http.Request, id job.ID) (gate.Inspected, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), Timeout)
	defer cancel()
	reply, ok := s.exchange.Ask(ctx, func(request gate.RequestID) machine.Event {
		return gate.Inspect{Request: request, Job: id}
	}, nil)
	if !ok {
		http.Error(w, "the leader did not answer in time", http.StatusServiceUnavailable)
		return reply, false
	}
	if reply.Err != nil {
		status := http.StatusServiceUnavailable
		if id != "" {
			status = http.StatusNotFound
		}
		http.Error(w, reply.Err.Error(), status)
		return reply, false
	}
	return reply, true
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.ask(w, r, "")
	if !ok {
		return
	}
	writeJSON(w, Status{Leader: reply.Leader, Overview: reply.Overview})
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.ask(w, r, job.ID(chi.URLParam(r, "id")))
	if !ok {
		return
	}
	writeJSON(w, reply.Explanation)
}

func (s *Server) page(w http.ResponseWriter, r *http.Request) {
	reply, ok := s.ask(w, r, "")
	if !ok {
		return
	}
	var buffer bytes.Buffer
	if err := pageTemplate.Execute(&buffer, newPageData(Status{Leader: reply.Leader, Overview: reply.Overview})); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if _, err := buffer.WriteTo(w); err != nil {
		return
	}
}

// newPageData returns the page's data, with the workers grouped by rack and sorted.
func newPageData(status Status) pageData {
	data := pageData{Status: status}
	slices.SortFunc(status.Workers, func(x, y scheduler.WorkerState) int {
		return compareWorkers(x.Worker, y.Worker)
	})
	for _, w := range status.Workers {
		name := string(w.Worker.DataCentre) + " / " + string(w.Worker.Rack)
		if len(data.Racks) == 0 || data.Racks[len(data.Racks)-1].Name != name {
			data.Racks = append(data.Racks, rackView{Name: name})
		}
		rack := &data.Racks[len(data.Racks)-1]
		rack.Workers = append(rack.Workers, newWorkerView(w))
	}
	for _, q := range status.Queues {
		data.Waits += q.Waiting
	}
	return data
}

func newWorkerView(w scheduler.WorkerState) workerView {
	v := workerView{WorkerState: w}
	for i := range w.Worker.Accelerators {
		v.Cells = append(v.Cells, acceleratorView{Index: i, Busy: w.Busy&(1<<i) != 0})
	}
	return v
}

// compareWorkers orders workers by data centre, rack and name.
func compareWorkers(x, y floor.Worker) int {
	for _, pair := range [][2]string{
		{string(x.DataCentre), string(y.DataCentre)},
		{string(x.Rack), string(y.Rack)},
		{string(x.ID), string(y.ID)},
	} {
		if pair[0] < pair[1] {
			return -1
		}
		if pair[0] > pair[1] {
			return 1
		}
	}
	return 0
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
