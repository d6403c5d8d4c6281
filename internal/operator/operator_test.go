package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/baseline"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/loop"
	"github.com/lovageroad/lovageroad/internal/operator"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/internal/settings"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	region        = "region"
	operatorToken = "operator-token"
)

// testGate is a gate that leads a region without workers, with the operators' API
// in front of it and an in-memory table, in virtual time.
type testGate struct {
	t      *testing.T
	now    time.Time
	gate   *gate.Gate
	memory *platform.Memory
	server *operator.Server
	router chi.Router
}

// noGuarantees is a policy that refuses every guarantee, as if the floor were too
// small.
type noGuarantees struct{ scheduler.Policy }

func (noGuarantees) CheckAccounts(accounts []account.Account) error {
	for _, a := range accounts {
		for _, g := range a.Parameters.Guarantees {
			return &scheduler.GuaranteeError{Account: a.Name, Shape: g.Shape, Count: g.Count}
		}
	}
	return nil
}

// newTestGate returns a testGate whose gate has become the leader.
func newTestGate(t *testing.T) *testGate {
	g := &testGate{
		t:      t,
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		gate:   gate.New("gate", region, gate.WithPolicy(func() scheduler.Policy { return noGuarantees{baseline.NewFirstFit()} })),
		memory: platform.NewMemory(),
		router: chi.NewRouter(),
	}
	g.server = operator.New(func(_ context.Context, event machine.Event) bool {
		g.step(event)
		for range 100 {
			g.tick()
		}
		return true
	}, region, settings.Operators{{Name: "ilze", Hash: account.HashToken(operatorToken)}})
	g.server.Routes(g.router)
	g.step(gate.Start{})
	for range 400 {
		g.tick()
	}
	return g
}

// tick advances the virtual time by one tick of the gate.
func (g *testGate) tick() {
	g.now = g.now.Add(gate.DefaultTickInterval)
	g.step(machine.Tick{})
}

// step applies an event, and the results of all store operations that follow from
// it, without advancing the time.
func (g *testGate) step(event machine.Event) {
	pending := []machine.Event{event}
	for len(pending) > 0 {
		effects := g.gate.Step(g.now, pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			switch effect.(type) {
			case machine.Commit, machine.Read, machine.Scan:
				pending = append(pending, loop.Execute(context.Background(), g.memory, g.memory, effect))
			default:
				g.server.Handle(effect)
			}
		}
	}
}

// call makes an operator's request and decodes the response body into answer.
func (g *testGate) call(method, path, match, body string, answer any) *http.Response {
	g.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	recorder := httptest.NewRecorder()
	g.router.ServeHTTP(recorder, request)
	if err := json.Unmarshal(recorder.Body.Bytes(), answer); err != nil {
		g.t.Fatalf("%s %s: %v: %s", method, path, err, recorder.Body)
	}
	return recorder.Result()
}

// TestProblems checks the status and the field of error responses, and that refused
// requests change nothing.
func TestProblems(t *testing.T) {
	g := newTestGate(t)
	var created operator.SubjectBody
	g.call(http.MethodPut, "/v1/accounts/parks", "", `{}`, &created)
	tests := []struct {
		name, method, path, match, body string
		status                          int
		field                           string
	}{
		{"no body", "PUT", "/v1/accounts/a", "", ``, 400, "body"},
		{"not an object", "PATCH", "/v1/accounts/parks", `"1"`, `[]`, 400, "body"},
		{"two values", "PUT", "/v1/accounts/a", "", `{} {}`, 400, "body"},
		{"unknown field", "PUT", "/v1/accounts/a", "", `{"colour": 1}`, 400, "colour"},
		{"unknown parameter", "PUT", "/v1/accounts/a", "", `{"overrides": {"colour": 1}}`, 400, "colour"},
		{"field of another kind", "PUT", "/v1/accounts/a", "", `{"budgets": []}`, 400, "budgets"},
		{"wrong type", "PUT", "/v1/accounts/a", "", `{"overrides": {"queue": "x"}}`, 400, "overrides.queue"},
		{"huge number", "PUT", "/v1/accounts/a", "", `{"overrides": {"queue": 1e30}}`, 400, "overrides.queue"},
		{"negative queue", "PUT", "/v1/accounts/a", "", `{"overrides": {"queue": -1}}`, 422, "overrides.queue"},
		{"weights of zero", "PUT", "/v1/templates/t", "", `{"parameters": {"weights": {"completion": 0, "fragmentation": 0}}}`, 422, "parameters.weights"},
		{"rack without data centre", "PUT", "/v1/floor", "", `{"budgets": [{"rack": "r", "cooling": 5}]}`, 422, "budgets[0].datacentre"},
		{"bad hash", "PUT", "/v1/accounts/a", "", `{"hashes": ["plain"]}`, 422, "tokens"},
		{"long text", "PUT", "/v1/accounts/a?text=" + strings.Repeat("x", 501), "", `{}`, 422, "text"},
		{"large body", "PUT", "/v1/accounts/a", "", strings.Repeat(" ", operator.MaxBodyBytes+1), 413, "body"},
		{"bad name", "PUT", "/v1/accounts/a%20b", "", `{}`, 422, "name"},
		{"no such account", "PATCH", "/v1/accounts/a", `"1"`, `{}`, 404, "name"},
		{"no If-Match", "PATCH", "/v1/accounts/parks", "", `{}`, 428, "If-Match"},
		{"bad If-Match", "PATCH", "/v1/accounts/parks", `"x"`, `{}`, 400, "If-Match"},
		{"bad dry run", "PUT", "/v1/accounts/a?dry-run=maybe", "", `{}`, 400, "dry-run"},
		{"a guarantee that the floor cannot hold", "PUT", "/v1/accounts/a", "", `{"overrides": {"guarantees": [{"shape": {"workers": 1, "accelerators": 8}, "count": 1}]}}`, 409, "guarantees"},
		{"the same as a dry run", "PUT", "/v1/accounts/a?dry-run=true", "", `{"overrides": {"guarantees": [{"shape": {"workers": 1, "accelerators": 8}, "count": 1}]}}`, 409, "guarantees"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p operator.Problem
			response := g.call(test.method, test.path, test.match, test.body, &p)
			if response.StatusCode != test.status || p.Status != test.status || p.Field != test.field || p.Detail == "" ||
				response.Header.Get("Content-Type") != "application/problem+json" {
				t.Errorf("got %d %+v", response.StatusCode, p)
			}
		})
	}
	var list operator.ListBody
	g.call(http.MethodGet, "/v1/accounts", "", "", &list)
	if len(list.Items) != 1 || list.Items[0].Revision != created.Revision {
		t.Errorf("refused requests left %+v", list)
	}
}

// TestUnauthorized checks that a request without an operator's token gets status
// 401.
func TestUnauthorized(t *testing.T) {
	g := newTestGate(t)
	for _, header := range []string{"", "Bearer ", "Bearer wrong", operatorToken + "x"} {
		request := httptest.NewRequest(http.MethodPut, "/v1/accounts/parks", strings.NewReader(`{}`))
		request.Header.Set("Authorization", header)
		recorder := httptest.NewRecorder()
		g.router.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusUnauthorized {
			t.Errorf("%q: got %d", header, recorder.Code)
		}
	}
}

// TestRevisionConflict checks conditional changes: a change from an outdated
// revision is refused with the current one, and no token is stored in plain text.
func TestRevisionConflict(t *testing.T) {
	g := newTestGate(t)
	var created, changed operator.SubjectBody
	response := g.call(http.MethodPut, "/v1/accounts/parks?text=first", "", `{"overrides": {"queue": 5}}`, &created)
	etag := response.Header.Get("ETag")
	if response.StatusCode != http.StatusCreated || created.Token == "" || created.Author != "ilze" || created.Text != "first" {
		t.Errorf("created: got %d %+v", response.StatusCode, created)
	}
	response = g.call(http.MethodPatch, "/v1/accounts/parks", etag, `{"overrides": {"queue": null, "order": ["checks"]}}`, &changed)
	if response.StatusCode != http.StatusOK || changed.Token != "" || changed.Overrides.QueueLimit != nil ||
		changed.Parameters.QueueLimit != account.DefaultQueueLimit || len(changed.Tokens) != 1 {
		t.Errorf("changed: got %d %+v", response.StatusCode, changed)
	}
	var p operator.Problem
	response = g.call(http.MethodPatch, "/v1/accounts/parks", etag, `{"overrides": {"queue": 9}}`, &p)
	if response.StatusCode != http.StatusPreconditionFailed || p.Current == nil || p.Current.Change != changed.Change ||
		response.Header.Get("ETag") != `"2"` {
		t.Errorf("conflict: got %d %+v, ETag %s", response.StatusCode, p, response.Header.Get("ETag"))
	}
	rows, err := g.memory.Scan(context.Background(), "", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if strings.Contains(string(row.Value), created.Token) {
			t.Errorf("row %s holds a token", row.Key)
		}
	}
}

// TestStaleGate replaces an account at a gate that has not yet received a revision
// that another gate accepted. The gate must catch up first, so that the tokens of
// the newer revision are kept.
func TestStaleGate(t *testing.T) {
	g := newTestGate(t)
	var created, replaced operator.SubjectBody
	g.call(http.MethodPut, "/v1/accounts/parks", "", `{"overrides": {"queue": 5}}`, &created)
	tokens := []account.TokenHash{account.HashToken("newer")}
	subject := account.Subject{Kind: account.KindAccount, Name: "parks"}
	rows, err := g.memory.Read(context.Background(), []table.Key{account.HeadKey(region)})
	if err != nil {
		t.Fatal(err)
	}
	txn, err := account.Transaction(region, rows[0].Version, account.Change{
		ID: "elsewhere", Revision: 2, Previous: 1, Subject: subject,
		Value: account.Value{Account: &account.Account{Name: "parks", Tokens: tokens}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := g.memory.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
	response := g.call(http.MethodPut, "/v1/accounts/parks", `"2"`, `{}`, &replaced)
	if response.StatusCode != http.StatusOK || len(replaced.Tokens) != 1 || !strings.HasPrefix(string(tokens[0]), string(replaced.Tokens[0])) {
		t.Errorf("got %d %+v", response.StatusCode, replaced)
	}
}

// TestStoreFaults makes changes while the store is unavailable or loses its
// responses. The API must report whether the change is refused or uncertain.
func TestStoreFaults(t *testing.T) {
	tests := []struct {
		fault    platform.Fault
		status   int
		accepted bool
	}{
		{platform.FaultDown, http.StatusServiceUnavailable, false},
		{platform.FaultResponseLost, http.StatusGatewayTimeout, true},
	}
	for _, test := range tests {
		g := newTestGate(t)
		g.memory.SetFault(test.fault)
		var p operator.Problem
		response := g.call(http.MethodPut, "/v1/accounts/parks", "", `{}`, &p)
		if response.StatusCode != test.status || (p.Change != "") != test.accepted {
			t.Errorf("%s: got %d %+v", test.fault, response.StatusCode, p)
		}
		g.memory.SetFault(platform.FaultNone)
		for range 100 {
			g.tick()
		}
		var got operator.SubjectBody
		response = g.call(http.MethodGet, "/v1/accounts/parks", "", "", &got)
		if (response.StatusCode == http.StatusOK) != test.accepted || got.Change != p.Change {
			t.Errorf("%s: afterwards got %d %+v", test.fault, response.StatusCode, got)
		}
	}
}

// FuzzChange sends arbitrary bytes as a definition and as a patch. No response may
// be a server error.
func FuzzChange(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"overrides":null}`, `{"template":5}`, `{"overrides":{"queue":null,"weights":{"completion":1e400}}}`,
		`{"overrides":{"guarantees":[{}]}}`, `{"overrides":{"order":[{"a":{}}]}}`, strings.Repeat(`{"a":`, 5000) + "1" + strings.Repeat("}", 5000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := newTestGate(t)
		var created, answer operator.SubjectBody
		g.call(http.MethodPut, "/v1/accounts/parks", "", `{}`, &created)
		for _, method := range []string{http.MethodPut, http.MethodPatch} {
			if response := g.call(method, "/v1/accounts/parks", `"1"`, string(body), &answer); response.StatusCode >= http.StatusInternalServerError {
				t.Errorf("%s: got %d", method, response.StatusCode)
			}
		}
	})
}
