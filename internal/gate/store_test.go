package gate_test

import (
	"context"
	"testing"

	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// commitRow writes one row to the store.
func commitRow(tb testing.TB, store *platform.Memory, write table.Write) {
	tb.Helper()
	if _, err := store.Commit(context.Background(), table.Txn{Writes: []table.Write{write}}); err != nil {
		tb.Fatal(err)
	}
}
