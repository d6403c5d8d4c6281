package serve_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/serve"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// TestStaleRows has one gate rewrite its row each minute while another one has
// left. Only the row of the gate that left must become stale, after five
// minutes.
func TestStaleRows(t *testing.T) {
	var staleRows serve.StaleRows
	start := time.Unix(1000, 0)
	for minute := range 10 {
		rows := []table.Row{{Key: "gate/a", Version: table.Version(100 + minute)}, {Key: "gate/b", Version: 7}}
		stale := staleRows.Observe(start.Add(time.Duration(minute)*time.Minute), rows)
		if minute < 5 && len(stale) != 0 {
			t.Errorf("minute %d: %v is stale", minute, stale)
		}
		if minute >= 5 && (len(stale) != 1 || stale[0].Key != "gate/b") {
			t.Errorf("minute %d: %v is stale, want the row of b", minute, stale)
		}
	}
}

// TestOddGateRows has rows among those of the gates that no gate has written: names that
// are no addresses, ports out of range, and more of them than one scan returns. Agents
// must be told all gates, and nothing else.
func TestOddGateRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		keys := []table.Key{
			"gate/", "gate/x", "gate/127.0.0.1", "gate/127.0.0.1:0", "gate/127.0.0.1:70000", "gate/127.0.0.1:-1", "gate/127.0.0.1:x",
			"gate/host:80", "gate/127.0.0.1:18446744073709551616", "gate/127.0.0.2:7000", "gate/127.99.0.1:7000",
		}
		for i := range 600 {
			keys = append(keys, table.Key(fmt.Sprintf("gate/127.50.%04d", i)))
		}
		gate, _ := leadingGate(ctx, t, keys...)
		time.Sleep(10 * time.Second)
		orders := gate.Report(ctx, control.Report{Agent: "second", Incarnation: 1, Seq: 1})
		if want := []machine.Node{"127.0.0.2:7000", "127.99.0.1:7000"}; !slices.Equal(orders.Gates, want) {
			t.Errorf("agents are told %v, want %v", orders.Gates, want)
		}
	})
}
