package serve_test

import (
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/serve"
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
