package machine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// recorder writes each message it receives to a row, and replies to the sender once
// the row is durable.
type recorder struct {
	store   *machine.Store
	replies []machine.Effect
}

// Step applies one event.
func (r *recorder) Step(_ time.Time, event machine.Event) []machine.Effect {
	r.replies = nil
	switch e := event.(type) {
	case machine.StoreResult:
		r.store.Resolve(e)
	case machine.Message:
		txn := table.Txn{Writes: []table.Write{{Key: "last", Value: []byte(fmt.Sprint(e.Body))}}}
		r.store.Commit(txn, func(result machine.StoreResult) {
			r.replies = append(r.replies, machine.Send{To: e.From, Body: result.Err == nil})
		})
	}
	return append(r.replies, r.store.Take()...)
}

// The caller of Step carries out the effects and returns their results as events.
func ExampleMachine() {
	var m machine.Machine = &recorder{store: machine.NewStore()}
	now := time.Unix(0, 0)
	effects := m.Step(now, machine.Message{From: "10.0.0.1:7000", Body: "hello"})
	commit := effects[0].(machine.Commit)
	fmt.Printf("write %s\n", commit.Txn.Writes[0].Value)
	for _, effect := range m.Step(now, machine.StoreResult{ID: commit.ID}) {
		send := effect.(machine.Send)
		fmt.Printf("answer %s: %v\n", send.To, send.Body)
	}
	// Output:
	// write hello
	// answer 10.0.0.1:7000: true
}

// TestStore resolves operations out of order, one of them twice, and an unknown
// one. Each callback must run once.
func TestStore(t *testing.T) {
	s := machine.NewStore()
	var order []string
	s.Read([]table.Key{"a"}, func(machine.StoreResult) { order = append(order, "read") })
	s.Get("object", func(machine.StoreResult) { order = append(order, "get") })
	effects := s.Take()
	read, get := effects[0].(machine.Read).ID, effects[1].(machine.Get).ID
	for _, id := range []machine.OpID{get, get, read, 99} {
		s.Resolve(machine.StoreResult{ID: id})
	}
	if fmt.Sprint(order) != "[get read]" || s.Pending() != 0 {
		t.Errorf("got %v, %d pending", order, s.Pending())
	}
}

func ExampleNode_Valid() {
	for _, node := range []machine.Node{"10.0.0.1:7300", "10.0.0.1:70000", "10.0.0.1:0", "gate"} {
		fmt.Println(node, node.Valid())
	}
	// Output:
	// 10.0.0.1:7300 true
	// 10.0.0.1:70000 false
	// 10.0.0.1:0 false
	// gate false
}
