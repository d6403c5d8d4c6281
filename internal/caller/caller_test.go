package caller_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/caller"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const validBody = `{"account":"depot","class":"checks","idempotent":true,"expected":"90s","input":"x",` +
	`"shape":{"workers":2,"accelerators":4,"adjacency":"rack","cores":2,"memory":1024}}`

// newHandler returns the API in front of a stub gate that answers each request
// with the record and passes each event to onEvent.
func newHandler(t *testing.T, record job.Record, onEvent func(machine.Event)) http.Handler {
	t.Helper()
	var server *caller.Server
	post := func(_ context.Context, event machine.Event) bool {
		onEvent(event)
		switch e := event.(type) {
		case gate.Submit:
			server.Handle(gate.Reply{Request: e.Request, Record: record})
		case gate.Lookup:
			server.Handle(gate.Reply{Request: e.Request, Record: record})
		case gate.Cancel:
			server.Handle(gate.Reply{Request: e.Request, Record: record})
		}
		return true
	}
	server = caller.New(post, platform.NewMemory())
	router := chi.NewRouter()
	server.Routes(router)
	return router
}

func postJob(handler http.Handler, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, "/v1/jobs", strings.NewReader(body))
	request.Header.Set(caller.IdempotencyKeyHeader, key)
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// TestRefusedInput submits invalid keys and bodies. Each response names the field
// and says that the job did not run, and nothing reaches the gate.
func TestRefusedInput(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		body   string
		status int
		field  string
	}{
		{"no key", "", validBody, 400, "Idempotency-Key"},
		{"long key", strings.Repeat("k", caller.MaxNameBytes+1), validBody, 400, "Idempotency-Key"},
		{"no body", "k", "", 400, "body"},
		{"two bodies", "k", validBody + validBody, 400, "body"},
		{"an array", "k", "[]", 400, "body"},
		{"unknown field", "k", `{"acount":"depot"}`, 400, "acount"},
		{"no account", "k", `{"class":"c"}`, 400, "account"},
		{"path in account", "k", `{"account":"../x","class":"c"}`, 400, "account"},
		{"no class", "k", `{"account":"a"}`, 400, "class"},
		{"negative workers", "k", `{"account":"a","class":"c","shape":{"workers":-1}}`, 400, "shape.workers"},
		{"too many workers", "k", `{"account":"a","class":"c","shape":{"workers":100000}}`, 400, "shape.workers"},
		{"fraction", "k", `{"account":"a","class":"c","shape":{"workers":1.5}}`, 400, "shape.workers"},
		{"huge number", "k", `{"account":"a","class":"c","shape":{"cores":1e400}}`, 400, "shape.cores"},
		{"not a number", "k", `{"account":"a","class":"c","shape":{"cores":NaN}}`, 400, "body"},
		{"text for a number", "k", `{"account":"a","class":"c","shape":{"memory":"1GiB"}}`, 400, "shape.memory"},
		{"too many accelerators", "k", `{"account":"a","class":"c","shape":{"accelerators":65}}`, 400, "shape.accelerators"},
		{"unknown adjacency", "k", `{"account":"a","class":"c","shape":{"adjacency":"tower"}}`, 400, "shape.adjacency"},
		{"gang on a worker", "k", `{"account":"a","class":"c","shape":{"workers":2,"adjacency":"worker"}}`, 400, "shape.adjacency"},
		{"negative time", "k", `{"account":"a","class":"c","expected":"-1s"}`, 400, "expected"},
		{"endless time", "k", `{"account":"a","class":"c","expected":"9999h"}`, 400, "expected"},
		{"two inputs", "k", `{"account":"a","class":"c","input":"x","object":"y"}`, 400, "object"},
		{"large input", "k", `{"account":"a","class":"c","input":"` + strings.Repeat("x", job.MaxInline) + `"}`, 400, "input"},
		{"oversized", "k", `{"account":"` + strings.Repeat("a", caller.MaxBodyBytes) + `"}`, 413, "body"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			handler := newHandler(t, job.Record{}, func(event machine.Event) { t.Errorf("reached the gate: %v", event) })
			response := postJob(handler, test.key, test.body)
			var problem caller.Problem
			if err := json.Unmarshal(response.Body.Bytes(), &problem); err != nil {
				t.Fatal(err)
			}
			if response.Code != test.status || problem.Field != test.field || problem.Ran != job.NotRun {
				t.Errorf("got %d %+v, want %d for %s", response.Code, problem, test.status, test.field)
			}
			if contentType := response.Header().Get("Content-Type"); contentType != "application/problem+json" {
				t.Errorf("content type %s", contentType)
			}
		})
	}
}

// TestAnswerIntegrity checks that a truncated, corrupt or missing answer is not
// delivered: the response is 503 unless length and digest match the record.
func TestAnswerIntegrity(t *testing.T) {
	intact := job.NewAnswer([]byte("yield 4.2 t/ha"))
	truncated := *intact
	truncated.Data = truncated.Data[:5]
	corrupted := *intact
	corrupted.Data = []byte("yield 9.2 t/ha")
	tests := []struct {
		name   string
		answer *job.Answer
		status int
	}{
		{"whole", intact, http.StatusOK},
		{"cut", &truncated, http.StatusServiceUnavailable},
		{"changed", &corrupted, http.StatusServiceUnavailable},
		{"missing object", &job.Answer{Digest: intact.Digest, Length: intact.Length, Object: "answer/none"}, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := job.Record{ID: "1", State: job.StateDone, Answer: test.answer, Submitted: time.Unix(0, 0)}
			response := postJob(newHandler(t, record, func(machine.Event) {}), "k", validBody)
			if response.Code != test.status {
				t.Errorf("got %d, want %d", response.Code, test.status)
			}
			if response.Code == http.StatusOK && response.Body.String() != "yield 4.2 t/ha" {
				t.Errorf("got %q", response.Body)
			}
		})
	}
}

// TestImpossibleShape checks the response to a job whose shape can never be
// placed: status 422, field shape, not run.
func TestImpossibleShape(t *testing.T) {
	record := job.Record{ID: "1", State: job.StateRefused, Ran: job.NotRun, Permanent: true, Submitted: time.Unix(0, 0)}
	response := postJob(newHandler(t, record, func(machine.Event) {}), "k", validBody)
	var problem caller.Problem
	if err := json.Unmarshal(response.Body.Bytes(), &problem); err != nil {
		t.Fatal(err)
	}
	if response.Code != http.StatusUnprocessableEntity || problem.Field != "shape" || problem.Ran != job.NotRun {
		t.Errorf("got %d %+v", response.Code, problem)
	}
}

// FuzzSubmit submits arbitrary keys and bodies. The gate must never receive a
// shape out of bounds.
func FuzzSubmit(f *testing.F) {
	f.Add("k", validBody)
	f.Fuzz(func(t *testing.T, key, body string) { submitArbitrary(t, key, body) })
}

// TestMutatedBodies submits a valid body with random bytes changed, from a fixed
// seed. The gate must never receive a shape out of bounds.
func TestMutatedBodies(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		body := []byte(validBody)
		for range 1 + random.IntN(4) {
			body[random.IntN(len(body))] = byte(random.UintN(256))
		}
		submitArbitrary(t, "k", string(body))
	}
}

// submitArbitrary submits a body. The response must be 202 or a client error, and
// the gate may receive only shapes within bounds.
func submitArbitrary(t *testing.T, key, body string) {
	t.Helper()
	record := job.Record{ID: "1", State: job.StateQueued, Submitted: time.Unix(0, 0)}
	handler := newHandler(t, record, func(event machine.Event) {
		s := event.(gate.Submit).Spec
		if s.Shape.Workers < 1 || s.Shape.Workers > caller.MaxWorkers || s.Shape.Accelerators < 0 ||
			s.Shape.Cores < 1 || s.Shape.Memory < 0 || s.Expected < 0 || s.Account == "" {
			t.Errorf("body %q gave %+v", body, s)
		}
	})
	response := postJob(handler, key, body)
	if response.Code != http.StatusAccepted && (response.Code < 400 || response.Code > 499) {
		t.Errorf("body %q: status %d", body, response.Code)
	}
}
