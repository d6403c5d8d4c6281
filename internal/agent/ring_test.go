package agent_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/agent"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/wire"
	"github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// TestRing runs a member without any leader for an hour, then loses a peer: the
// task is stopped within the lease, and whoever leads then is told until it
// orders the stop.
func TestRing(t *testing.T) {
	b := running(t)
	b.pass(time.Hour, b.beats)
	expect[agent.StopTask](b)
	b.pass(gang.DefaultLease, nil)
	expect(b, agent.StopTask{Task: taskID})
	b.pass(gang.DefaultLease, nil)
	expect[wire.Halted](b)
	b.step(agent.TaskStopped{Task: taskID})
	b.pass(time.Minute, nil)
	halted := take[wire.Halted](b)
	if len(halted) < 3 || len(halted) > 8 || !halted[0].Ran {
		t.Errorf("told the leader %+v", halted)
	}
	b.order(wire.Stop{Order: order, Task: taskID})
	expect(b, wire.Stopped{Epoch: 3, Task: taskID, Ran: true})
	take[wire.Halted](b)
	b.pass(time.Hour, nil)
	expect[wire.Halted](b)
}

// TestHaltedBeat stops a member at once when a peer says that the gang is
// broken, and tells the peers.
func TestHaltedBeat(t *testing.T) {
	b := running(t)
	take[wire.Beat](b)
	pulse := wire.Pulse{Task: taskID, From: 1, State: gang.Halted, Lost: 2}
	b.step(machine.Message{From: peers[1], Body: wire.Beat{Pulses: []wire.Pulse{pulse}}})
	expect(b, agent.StopTask{Task: taskID})
	if sent := take[wire.Beat](b); len(sent) != 2 || sent[0].Pulses[0].State != gang.Halted {
		t.Errorf("told the peers %+v", sent)
	}
}

// TestStray tells a peer at once that its gang is not held here.
func TestStray(t *testing.T) {
	b := newBench(t)
	pulse := wire.Pulse{Task: taskID, From: 1, State: gang.Running}
	b.step(machine.Message{From: peers[1], Body: wire.Beat{Pulses: []wire.Pulse{pulse}}})
	back := taskID
	back.Rank = 1
	expect(b, wire.Beat{Pulses: []wire.Pulse{{Task: back, From: 0, State: gang.Halted}}})
	pulse.State = gang.Reserved
	b.step(machine.Message{From: peers[1], Body: wire.Beat{Pulses: []wire.Pulse{pulse}}})
	expect[wire.Beat](b)
}

// TestPeerStarts starts a reservation when a peer's beat says that the gang
// runs, once.
func TestPeerStarts(t *testing.T) {
	b := reserved(t)
	b.beats()
	if runs := take[agent.RunTask](b); len(runs) != 1 {
		t.Errorf("%d starts", len(runs))
	}
	b.beats()
	b.order(wire.Run{Order: order, Task: taskID})
	expect[agent.RunTask](b)
}

// TestInquiry gives a silent reservation the rows of its job.
func TestInquiry(t *testing.T) {
	live := func(state job.State, attempt job.Attempt, placed floor.Share) []table.Row {
		record := job.Record{ID: "j", State: state, Attempt: attempt, Epoch: 3, Placement: floor.Placement{placed}}
		value, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return []table.Row{{Key: job.LiveKey("r", "j"), Value: value}}
	}
	elsewhere := floor.Share{Worker: "w-2", Accelerators: 1, Cores: 1}
	tests := []struct {
		name   string
		rows   []table.Row
		err    error
		starts bool
		kept   bool
	}{
		{"no answer", nil, &table.UncertainError{}, false, true},
		{"no rows", nil, nil, false, true},
		{"not decided yet", live(job.StateQueued, 1, share), nil, false, true},
		{"a former attempt", live(job.StateStarted, 1, share), nil, false, true},
		{"started", live(job.StateStarted, 2, share), nil, true, true},
		{"started elsewhere", live(job.StateStarted, 2, elsewhere), nil, false, false},
		{"waits again", live(job.StateQueued, 2, share), nil, false, false},
		{"a later attempt", live(job.StateStarted, 3, share), nil, false, false},
		{"ended", []table.Row{{Key: job.DoneKey("r", "j"), Value: []byte("{}")}}, nil, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := reserved(t)
			b.pass(2*agent.DefaultInquiry, nil)
			reads := take[machine.Read](b)
			if len(reads) != 1 {
				t.Fatalf("%d reads", len(reads))
			}
			b.step(machine.Stored{ID: reads[0].ID, Rows: test.rows, Err: test.err})
			if starts := take[agent.RunTask](b); (len(starts) == 1) != test.starts {
				t.Errorf("%d starts", len(starts))
			}
			take[wire.Reserved](b)
			b.order(wire.Reserve{Order: order, Task: taskID, Share: share, Peers: peers})
			if reply := take[wire.Reserved](b); (reply[0].Reason == "") != test.kept {
				t.Errorf("reserved again: %+v", reply)
			}
		})
	}
}

// TestInquiryBackoff bounds the reads and messages of an hour's outage.
func TestInquiryBackoff(t *testing.T) {
	b := reserved(t)
	b.order(wire.Reserve{Order: order, Task: wire.TaskID{Job: "ended", Epoch: 3}, Share: floor.Share{Accelerators: 2}})
	b.order(wire.Run{Order: order, Task: wire.TaskID{Job: "ended", Epoch: 3}})
	b.step(agent.TaskEnded{Task: wire.TaskID{Job: "ended", Epoch: 3}})
	reads := 0
	b.pass(time.Hour, func() {
		for _, read := range take[machine.Read](b) {
			reads++
			b.step(machine.Stored{ID: read.ID, Err: &table.RejectedError{}})
		}
	})
	if reads == 0 || reads > 130 {
		t.Errorf("%d reads in an hour", reads)
	}
	if sent := len(take[wire.Ended](b)); sent < 60 || sent > 130 {
		t.Errorf("%d results sent in an hour", sent)
	}
	expect[agent.StopTask](b)
}

// TestEndedLearns lets go of a result whose job has ended though no leader says
// so.
func TestEndedLearns(t *testing.T) {
	b := running(t)
	b.step(agent.TaskEnded{Task: taskID})
	b.pass(2*agent.DefaultInquiry, b.beats)
	reads := take[machine.Read](b)
	if len(reads) != 1 {
		t.Fatalf("%d reads", len(reads))
	}
	b.step(machine.Stored{ID: reads[0].ID, Rows: []table.Row{{Key: job.DoneKey("r", "j")}}})
	expect(b, agent.ForgetTask{Task: taskID})
}
