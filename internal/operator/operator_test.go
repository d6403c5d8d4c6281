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
	region = "region"
	secret = "operator-token"
)

// site is a gate that leads a region without workers, in virtual time.
type site struct {
	t      *testing.T
	now    time.Time
	gate   *gate.Gate
	memory *platform.Memory
	server *operator.Server
	router chi.Router
}

// narrow is a policy whose floor holds no guarantees.
type narrow struct{ scheduler.Policy }

func (narrow) CheckAccounts(accounts []account.Account) error {
	for _, a := range accounts {
		for _, g := range a.Parameters.Guarantees {
			return &scheduler.GuaranteeError{Account: a.Name, Shape: g.Shape, Count: g.Count}
		}
	}
	return nil
}

func newSite(t *testing.T) *site {
	s := &site{
		t:      t,
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		gate:   gate.New("gate", region, gate.WithPolicy(func() scheduler.Policy { return narrow{baseline.NewFirstFit()} })),
		memory: platform.NewMemory(),
		router: chi.NewRouter(),
	}
	s.server = operator.New(func(_ context.Context, event machine.Event) bool {
		s.step(event)
		for range 100 {
			s.tick()
		}
		return true
	}, region, settings.Operators{{Name: "ilze", Hash: account.HashToken(secret)}})
	s.server.Routes(s.router)
	s.step(gate.Start{})
	for range 400 {
		s.tick()
	}
	return s
}

func (s *site) tick() {
	s.now = s.now.Add(gate.DefaultTick)
	s.step(machine.Tick{})
}

// step applies an event and all that follows from it at once.
func (s *site) step(event machine.Event) {
	pending := []machine.Event{event}
	for len(pending) > 0 {
		effects := s.gate.Step(s.now, pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			switch effect.(type) {
			case machine.Commit, machine.Read, machine.Scan:
				pending = append(pending, loop.Carry(context.Background(), s.memory, s.memory, effect))
			default:
				s.server.Handle(effect)
			}
		}
	}
}

// call makes a request and decodes its answer.
func (s *site) call(method, path, match, body string, answer any) *http.Response {
	s.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+secret)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	recorder := httptest.NewRecorder()
	s.router.ServeHTTP(recorder, request)
	if err := json.Unmarshal(recorder.Body.Bytes(), answer); err != nil {
		s.t.Fatalf("%s %s: %v: %s", method, path, err, recorder.Body)
	}
	return recorder.Result()
}

// TestProblems makes requests that are refused, and looks for the status and the
// field that is named.
func TestProblems(t *testing.T) {
	s := newSite(t)
	var created operator.Body
	s.call(http.MethodPut, "/v1/accounts/parks", "", `{}`, &created)
	tests := []struct {
		name, method, path, match, body string
		status                          int
		field                           string
	}{
		{"no body", "PUT", "/v1/accounts/a", "", ``, 400, "body"},
		{"no object", "PATCH", "/v1/accounts/parks", `"1"`, `[]`, 400, "body"},
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
		{"large body", "PUT", "/v1/accounts/a", "", strings.Repeat(" ", operator.MaxBody+1), 413, "body"},
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
			response := s.call(test.method, test.path, test.match, test.body, &p)
			if response.StatusCode != test.status || p.Status != test.status || p.Field != test.field || p.Detail == "" ||
				response.Header.Get("Content-Type") != "application/problem+json" {
				t.Errorf("got %d %+v", response.StatusCode, p)
			}
		})
	}
	var list operator.ListBody
	s.call(http.MethodGet, "/v1/accounts", "", "", &list)
	if len(list.Items) != 1 || list.Items[0].Revision != created.Revision {
		t.Errorf("refused requests left %+v", list)
	}
}

// TestStrangers asks without an operator's token.
func TestStrangers(t *testing.T) {
	s := newSite(t)
	for _, header := range []string{"", "Bearer ", "Bearer wrong", secret + "x"} {
		request := httptest.NewRequest(http.MethodPut, "/v1/accounts/parks", strings.NewReader(`{}`))
		request.Header.Set("Authorization", header)
		recorder := httptest.NewRecorder()
		s.router.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusUnauthorized {
			t.Errorf("%q: got %d", header, recorder.Code)
		}
	}
}

// TestVersions changes an account from an old version, and gets the newer one.
func TestVersions(t *testing.T) {
	s := newSite(t)
	var created, changed operator.Body
	response := s.call(http.MethodPut, "/v1/accounts/parks?text=first", "", `{"overrides": {"queue": 5}}`, &created)
	tag := response.Header.Get("ETag")
	if response.StatusCode != http.StatusCreated || created.Token == "" || created.Author != "ilze" || created.Text != "first" {
		t.Errorf("created: got %d %+v", response.StatusCode, created)
	}
	response = s.call(http.MethodPatch, "/v1/accounts/parks", tag, `{"overrides": {"queue": null, "order": ["checks"]}}`, &changed)
	if response.StatusCode != http.StatusOK || changed.Token != "" || changed.Overrides.QueueLimit != nil ||
		changed.Parameters.QueueLimit != account.DefaultQueueLimit || len(changed.Tokens) != 1 {
		t.Errorf("changed: got %d %+v", response.StatusCode, changed)
	}
	var p operator.Problem
	response = s.call(http.MethodPatch, "/v1/accounts/parks", tag, `{"overrides": {"queue": 9}}`, &p)
	if response.StatusCode != http.StatusPreconditionFailed || p.Current == nil || p.Current.Change != changed.Change ||
		response.Header.Get("ETag") != `"2"` {
		t.Errorf("raced: got %d %+v, ETag %s", response.StatusCode, p, response.Header.Get("ETag"))
	}
	rows, err := s.memory.Scan(context.Background(), "", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if strings.Contains(string(row.Value), created.Token) {
			t.Errorf("row %s holds a token", row.Key)
		}
	}
}

// TestBehind replaces an account at a gate that does not hold yet what another gate
// has accepted. The tokens of the newer version stay.
func TestBehind(t *testing.T) {
	s := newSite(t)
	var created, replaced operator.Body
	s.call(http.MethodPut, "/v1/accounts/parks", "", `{"overrides": {"queue": 5}}`, &created)
	tokens := []account.TokenHash{account.HashToken("newer")}
	subject := account.Subject{Kind: account.KindAccount, Name: "parks"}
	rows, err := s.memory.Read(context.Background(), []table.Key{account.HeadKey(region)})
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
	if _, err := s.memory.Commit(context.Background(), txn); err != nil {
		t.Fatal(err)
	}
	response := s.call(http.MethodPut, "/v1/accounts/parks", `"2"`, `{}`, &replaced)
	if response.StatusCode != http.StatusOK || len(replaced.Tokens) != 1 || !strings.HasPrefix(string(tokens[0]), string(replaced.Tokens[0])) {
		t.Errorf("got %d %+v", response.StatusCode, replaced)
	}
}

// TestStoreFaults changes settings while the store is down, or loses answers.
func TestStoreFaults(t *testing.T) {
	tests := []struct {
		fault  platform.Fault
		status int
		made   bool
	}{
		{platform.FaultDown, http.StatusServiceUnavailable, false},
		{platform.FaultLost, http.StatusGatewayTimeout, true},
	}
	for _, test := range tests {
		s := newSite(t)
		s.memory.SetFault(test.fault)
		var p operator.Problem
		response := s.call(http.MethodPut, "/v1/accounts/parks", "", `{}`, &p)
		if response.StatusCode != test.status || (p.Change != "") != test.made {
			t.Errorf("%s: got %d %+v", test.fault, response.StatusCode, p)
		}
		s.memory.SetFault(platform.FaultNone)
		for range 100 {
			s.tick()
		}
		var got operator.Body
		response = s.call(http.MethodGet, "/v1/accounts/parks", "", "", &got)
		if (response.StatusCode == http.StatusOK) != test.made || got.Change != p.Change {
			t.Errorf("%s: afterwards got %d %+v", test.fault, response.StatusCode, got)
		}
	}
}

// FuzzChange sends any bytes as a definition and as a patch.
func FuzzChange(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `null`, `[]`, `{"overrides":null}`, `{"template":5}`, `{"overrides":{"queue":null,"weights":{"completion":1e400}}}`,
		`{"overrides":{"guarantees":[{}]}}`, `{"overrides":{"order":[{"a":{}}]}}`, strings.Repeat(`{"a":`, 5000) + "1" + strings.Repeat("}", 5000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s := newSite(t)
		var created, answer operator.Body
		s.call(http.MethodPut, "/v1/accounts/parks", "", `{}`, &created)
		for _, method := range []string{http.MethodPut, http.MethodPatch} {
			if response := s.call(method, "/v1/accounts/parks", `"1"`, string(body), &answer); response.StatusCode >= http.StatusInternalServerError {
				t.Errorf("%s: got %d", method, response.StatusCode)
			}
		}
	})
}
