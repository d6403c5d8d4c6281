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

// TestRing runs a gang member without a leader for an hour and then stops the
// heartbeats of its peers. The task must be stopped within the gang's lease, and the
// leader be notified until it orders the stop.
func TestRing(t *testing.T) {
	h := running(t)
	h.pass(time.Hour, h.heartbeats)
	expect[agent.StopTask](h)
	h.pass(gang.DefaultLease, nil)
	expect(h, agent.StopTask{Task: taskID})
	h.pass(gang.DefaultLease, nil)
	expect[wire.UnsolicitedStop](h)
	h.step(agent.TaskStopped{Task: taskID})
	h.pass(time.Minute, nil)
	halted := take[wire.UnsolicitedStop](h)
	if len(halted) < 3 || len(halted) > 8 || !halted[0].Ran {
		t.Errorf("messages to the leader: %+v", halted)
	}
	h.deliver(wire.Stop{Order: order, Task: taskID})
	expect(h, wire.Stopped{Epoch: 3, Task: taskID, Ran: true})
	take[wire.UnsolicitedStop](h)
	h.pass(time.Hour, nil)
	expect[wire.UnsolicitedStop](h)
}

// TestHaltedBeat checks that a member stops at once and notifies its peers when a peer
// reports that the gang is broken.
func TestHaltedBeat(t *testing.T) {
	h := running(t)
	take[wire.GangHeartbeats](h)
	heartbeat := wire.GangHeartbeat{Task: taskID, From: 1, State: gang.Halted, FailedRank: 2}
	h.step(machine.Message{From: peers[1], Body: wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{heartbeat}}})
	expect(h, agent.StopTask{Task: taskID})
	if sent := take[wire.GangHeartbeats](h); len(sent) != 2 || sent[0].Heartbeats[0].State != gang.Halted {
		t.Errorf("messages to the peers: %+v", sent)
	}
}

// TestUnknownTask checks that a heartbeat of a running peer to a task that the agent does
// not have is answered at once with Halted, and one of a reserved peer is not.
func TestUnknownTask(t *testing.T) {
	h := newHarness(t)
	heartbeat := wire.GangHeartbeat{Task: taskID, From: 1, State: gang.Running}
	h.step(machine.Message{From: peers[1], Body: wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{heartbeat}}})
	back := taskID
	back.Rank = 1
	expect(h, wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{{Task: back, From: 0, State: gang.Halted}}})
	heartbeat.State = gang.Reserved
	h.step(machine.Message{From: peers[1], Body: wire.GangHeartbeats{Heartbeats: []wire.GangHeartbeat{heartbeat}}})
	expect[wire.GangHeartbeats](h)
}

// TestPeerStarts checks that a reservation starts, once, when a peer's heartbeat shows
// that the gang runs.
func TestPeerStarts(t *testing.T) {
	h := reserved(t)
	h.heartbeats()
	if runs := take[agent.RunTask](h); len(runs) != 1 {
		t.Errorf("%d starts", len(runs))
	}
	h.heartbeats()
	h.deliver(wire.Run{Order: order, Task: taskID})
	expect[agent.RunTask](h)
}

// TestInquiry checks what a reservation without news does with the rows of its job.
func TestInquiry(t *testing.T) {
	live := func(state job.State, attempt job.Attempt, placed floor.Allocation) []table.Row {
		record := job.Record{ID: "j", State: state, Attempt: attempt, Epoch: 3, Placement: floor.Placement{placed}}
		value, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return []table.Row{{Key: job.LiveKey("r", "j"), Value: value}}
	}
	elsewhere := floor.Allocation{Worker: "w-2", Accelerators: 1, Cores: 1}
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
		{"ended", []table.Row{{Key: job.EndedKey("r", "j"), Value: []byte("{}")}}, nil, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := reserved(t)
			h.pass(2*agent.DefaultInquiryInterval, nil)
			reads := take[machine.Read](h)
			if len(reads) != 1 {
				t.Fatalf("%d reads", len(reads))
			}
			h.step(machine.StoreResult{ID: reads[0].ID, Rows: test.rows, Err: test.err})
			if starts := take[agent.RunTask](h); (len(starts) == 1) != test.starts {
				t.Errorf("%d starts", len(starts))
			}
			take[wire.Reserved](h)
			h.deliver(wire.Reserve{Order: order, Task: taskID, Share: share, Peers: peers})
			if reply := take[wire.Reserved](h); (reply[0].Reason == "") != test.kept {
				t.Errorf("reserved again: %+v", reply)
			}
		})
	}
}

// TestInquiryBackoff checks that an agent sends few reads and results while neither the
// table nor the leader answers for an hour.
func TestInquiryBackoff(t *testing.T) {
	h := reserved(t)
	h.deliver(wire.Reserve{Order: order, Task: wire.TaskID{Job: "ended", Epoch: 3}, Share: floor.Allocation{Accelerators: 2}})
	h.deliver(wire.Run{Order: order, Task: wire.TaskID{Job: "ended", Epoch: 3}})
	h.step(agent.TaskEnded{Task: wire.TaskID{Job: "ended", Epoch: 3}})
	reads := 0
	h.pass(time.Hour, func() {
		for _, read := range take[machine.Read](h) {
			reads++
			h.step(machine.StoreResult{ID: read.ID, Err: &table.RejectedError{}})
		}
	})
	if reads == 0 || reads > 130 {
		t.Errorf("%d reads in an hour", reads)
	}
	if sent := len(take[wire.Ended](h)); sent < 60 || sent > 130 {
		t.Errorf("%d results sent in an hour", sent)
	}
	expect[agent.StopTask](h)
}

// TestResultDroppedByTable checks that a result is dropped when the table shows
// that its job has ended, without a leader's acknowledgement.
func TestResultDroppedByTable(t *testing.T) {
	h := running(t)
	h.step(agent.TaskEnded{Task: taskID})
	h.pass(2*agent.DefaultInquiryInterval, h.heartbeats)
	reads := take[machine.Read](h)
	if len(reads) != 1 {
		t.Fatalf("%d reads", len(reads))
	}
	h.step(machine.StoreResult{ID: reads[0].ID, Rows: []table.Row{{Key: job.EndedKey("r", "j")}}})
	expect(h, agent.ForgetTask{Task: taskID})
}
