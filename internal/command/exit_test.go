package command_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lovageroad/lovageroad/internal/command"
	"github.com/lovageroad/lovageroad/internal/operator"
	"github.com/lovageroad/lovageroad/internal/problem"
)

// TestExitCodes checks the exit codes of an operator's change for the statuses of
// error responses and for a usage error.
func TestExitCodes(t *testing.T) {
	tests := []struct {
		status, code int
	}{
		{http.StatusBadRequest, command.ExitUsage},
		{http.StatusUnprocessableEntity, command.ExitUsage},
		{http.StatusUnauthorized, command.ExitFailure},
		{http.StatusConflict, command.ExitFailure},
		{http.StatusServiceUnavailable, command.ExitFailure},
		{http.StatusPreconditionFailed, command.ExitConflict},
		{http.StatusPreconditionRequired, command.ExitConflict},
		{http.StatusGatewayTimeout, command.ExitMayHaveRun},
	}
	for _, test := range tests {
		gate := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			if err := json.NewEncoder(w).Encode(operator.Problem{Details: problem.Details{Status: test.status}}); err != nil {
				t.Error(err)
			}
		}))
		code := command.Main([]string{"lovageroad", "account", "create", "--gate", gate.URL, "parks"})
		gate.Close()
		if code != test.code {
			t.Errorf("status %d: exit code %d, want %d", test.status, code, test.code)
		}
	}
	if code := command.Main([]string{"lovageroad", "account", "create"}); code != command.ExitUsage {
		t.Errorf("no name: exit code %d", code)
	}
}
