package serve_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/serve"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// TestReportFindsLeader has an agent that lost its leader ask a gate that does
// not know the next one yet. The answer comes when the gate is told of it, and
// names it; an agent of a former epoch is sent on at once.
func TestReportFindsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := serve.NewGate(serve.GateConfig{Node: "gate-1"})
		claim := func(epoch lease.Epoch) {
			gate.Lead(context.Background(), control.Claim{Leader: "gate-2", Epoch: epoch})
		}
		claim(3)
		ask := func() (control.Word, time.Duration) {
			asked := time.Now()
			word := gate.Report(context.Background(), control.Report{Agent: "a", Epoch: 3, Wait: 600 * time.Millisecond})
			return word, time.Since(asked)
		}
		if word, took := ask(); word.Epoch != 3 || took != 600*time.Millisecond {
			t.Errorf("without another leader: epoch %d after %v", word.Epoch, took)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			claim(4)
		}()
		word, took := ask()
		if word.Leads || word.Leader != "gate-2" || word.Epoch != 4 || took != 100*time.Millisecond {
			t.Errorf("leader %q of epoch %d after %v", word.Leader, word.Epoch, took)
		}
		if word, took := ask(); word.Epoch != 4 || took != 0 {
			t.Errorf("with another leader: epoch %d after %v", word.Epoch, took)
		}
	})
}
