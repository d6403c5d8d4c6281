package serve_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/internal/serve"
	"github.com/lovageroad/lovageroad/pkg/table"
)

type (
	// leadingServer is a gate that leads and says when it has had a report.
	leadingServer struct {
		control.Server
		reported chan struct{}
	}

	// idleDriver is a runner without tasks.
	idleDriver struct{ serve.Driver }
)

func (l leadingServer) Report(context.Context, control.Report) control.Orders {
	select {
	case l.reported <- struct{}{}:
	default:
	}
	return control.Orders{Leads: true, Epoch: 1}
}

func (idleDriver) RenewLease(_ context.Context, call runner.RenewLease) runner.RenewLeaseResult {
	return runner.RenewLeaseResult{Call: call, Answer: runner.Accepted}
}

// startGate serves a leading gate, adds its row to the table, and waits until an agent has
// reported to it.
func startGate(t *testing.T, memory *platform.Memory) *httptest.Server {
	t.Helper()
	gate := leadingServer{reported: make(chan struct{}, 1)}
	server := httptest.NewServer(control.NewHandler(gate))
	key := table.Key("gate/" + strings.TrimPrefix(server.URL, "http://"))
	if _, err := memory.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: key}}}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-gate.reported:
	case <-time.After(20 * time.Second):
		t.Fatal("the agent does not report to the gate")
	}
	return server
}

// TestAgentFindsReplacedGates guards against an agent that looks for gates only until it has
// found one: all gates that it knows are replaced by one at another address.
func TestAgentFindsReplacedGates(t *testing.T) {
	memory := platform.NewMemory()
	agent := serve.NewAgent(serve.AgentConfig{ID: "a", Table: memory, Driver: idleDriver{}, HoldTime: 6 * time.Second, MaxLease: 10 * time.Second})
	go agent.Run(t.Context())
	first := startGate(t, memory)
	first.CloseClientConnections()
	first.Close()
	startGate(t, memory).Close()
}
