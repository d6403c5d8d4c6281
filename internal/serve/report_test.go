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

// TestReportFindsLeader has an agent that lost its leader report to a gate that
// does not know the new leader yet. The answer must come as soon as the gate is
// notified of the new leader, and name it. An agent that reports an older epoch
// must be redirected at once.
func TestReportFindsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := serve.NewGate(serve.GateConfig{Node: "gate-1"})
		notify := func(epoch lease.Epoch) {
			gate.AnnounceLeader(context.Background(), control.LeaderNotice{Leader: "gate-2", Epoch: epoch})
		}
		notify(3)
		ask := func() (control.Orders, time.Duration) {
			asked := time.Now()
			answer := gate.Report(context.Background(), control.Report{Agent: "a", Epoch: 3, Wait: 600 * time.Millisecond})
			return answer, time.Since(asked)
		}
		if answer, took := ask(); answer.Epoch != 3 || took != 600*time.Millisecond {
			t.Errorf("without another leader: epoch %d after %v", answer.Epoch, took)
		}
		go func() {
			time.Sleep(100 * time.Millisecond)
			notify(4)
		}()
		answer, took := ask()
		if answer.Leads || answer.Leader != "gate-2" || answer.Epoch != 4 || took != 100*time.Millisecond {
			t.Errorf("leader %q of epoch %d after %v", answer.Leader, answer.Epoch, took)
		}
		if answer, took := ask(); answer.Epoch != 4 || took != 0 {
			t.Errorf("with another leader: epoch %d after %v", answer.Epoch, took)
		}
	})
}
