// Package console shows operators the state of a region: as JSON for programs
// and as a page for browsers. It changes nothing.
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

// Timeout bounds the time in which the leader answers.
const Timeout = 12 * time.Second

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

type (
	// Server serves the console.
	Server struct {
		exchange *loop.Exchange[gate.RequestID, gate.Inspected]
	}

	// Status is the state of a region.
	Status struct {
		Leader lease.Lease `json:"leader"`
		scheduler.Overview
	}

	view struct {
		Status
		Racks []rackView
		Waits int
	}

	rackView struct {
		Name    string
		Workers []workerView
	}

	workerView struct {
		scheduler.WorkerState
		Cells []cellView
	}

	cellView struct {
		Index int
		Busy  bool
	}
)

// New returns a console that asks the gate by post.
func New(post func(ctx context.Context, event machine.Event) bool) *Server {
	return &Server{exchange: loop.NewExchange[gate.RequestID, gate.Inspected](post)}
}

// Routes adds the routes of the console, for those whom authenticate lets
// through.
func (s *Server) Routes(r chi.Router, authenticate func(http.Handler) http.Handler) {
	r.Group(func(r chi.Router) {
		r.Use(authenticate)
		r.Get("/v1/status", s.status)
		r.Get("/v1/explanations/{id}", s.explain)
		r.Get("/", s.page)
	})
}

// Handle passes a reply of the gate to the request that waits for it.
func (s *Server) Handle(effect machine.Effect) {
	if reply, ok := effect.(gate.Inspected); ok {
		s.exchange.Answer(reply.Request, reply)
	}
}

func (s *Server) ask(w http.ResponseWriter, r *http.Request, id job.ID) (gate.Inspected, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), Timeout)
	defer cancel()
	reply, ok := s.exchange.Ask(ctx, func(request gate.RequestID) machine.Event {
		return gate.Inspect{Request: request, Job: id}
	}, nil)
	if !ok {
		http.Error(w, "no answer in time", http.StatusServiceUnavailable)
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
	if err := page.Execute(&buffer, newView(Status{Leader: reply.Leader, Overview: reply.Overview})); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	if _, err := buffer.WriteTo(w); err != nil {
		return
	}
}

func newView(status Status) view {
	v := view{Status: status}
	slices.SortFunc(status.Workers, func(x, y scheduler.WorkerState) int {
		return compareWorkers(x.Worker, y.Worker)
	})
	for _, w := range status.Workers {
		name := string(w.Worker.DataCentre) + " / " + string(w.Worker.Rack)
		if len(v.Racks) == 0 || v.Racks[len(v.Racks)-1].Name != name {
			v.Racks = append(v.Racks, rackView{Name: name})
		}
		rack := &v.Racks[len(v.Racks)-1]
		rack.Workers = append(rack.Workers, newWorkerView(w))
	}
	for _, q := range status.Queues {
		v.Waits += q.Waiting
	}
	return v
}

func newWorkerView(w scheduler.WorkerState) workerView {
	v := workerView{WorkerState: w}
	for i := range w.Worker.Accelerators {
		v.Cells = append(v.Cells, cellView{Index: i, Busy: w.Busy&(1<<i) != 0})
	}
	return v
}

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
