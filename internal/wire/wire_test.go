package wire_test

import (
	"reflect"
	"testing"

	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
)

// TestKinds checks that messages of agents decode to the values that were
// encoded, that agents may send them, and that a kind cannot be registered
// twice.
func TestKinds(t *testing.T) {
	id := wire.TaskID{Job: "j", Attempt: 1, Rank: 2, Epoch: 3}
	for _, body := range []any{
		wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{{Task: id, From: 1, State: gang.Halted, FailedRank: 1}}},
		wire.UnsolicitedStop{Epoch: 3, Task: id, Ran: true},
		wire.Heartbeat{Incarnation: 7, Epoch: 3},
	} {
		data, err := wire.Encode("10.0.0.1:7100", body)
		if err != nil {
			t.Fatal(err)
		}
		message, err := wire.Decode(data)
		if err != nil || !reflect.DeepEqual(message.Body, body) {
			t.Errorf("%T: got %+v, %v", body, message.Body, err)
		}
		if !wire.FromAgent(body) {
			t.Errorf("%T may not come from an agent", body)
		}
	}
	defer func() {
		if recover() == nil {
			t.Error("a kind was registered twice")
		}
	}()
	wire.Register[struct{}](50)
}
