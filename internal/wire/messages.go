package wire

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/pkg/lease"
	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/revision"
)

const (
	// PhaseReserved is the phase of a task whose share is set aside.
	PhaseReserved Phase = "reserved"

	// PhaseRunning is the phase of a task that was told to run.
	PhaseRunning Phase = "running"

	// PhaseEnded is the phase of a task that has a result.
	PhaseEnded Phase = "ended"

	// PhaseStopped is the phase of a task that was stopped or released.
	PhaseStopped Phase = "stopped"
)

type (
	// Incarnation tells apart the lives of a process at one address.
	Incarnation uint64

	// Revision counts the accepted changes of settings.
	Revision = revision.Number

	// Phase is a step in the life of a task.
	Phase string

	// TaskID names one member of one attempt of a job. Attempts of two leaders
	// differ in the epoch under which they were decided.
	TaskID struct {
		Job     job.ID      `cbor:"1,keyasint"`
		Attempt job.Attempt `cbor:"2,keyasint"`
		Rank    job.Rank    `cbor:"3,keyasint"`
		Epoch   lease.Epoch `cbor:"4,keyasint"`
	}

	// Result is what a member's task ended with.
	Result struct {
		Failed bool        `cbor:"1,keyasint"`
		Reason string      `cbor:"2,keyasint,omitempty"`
		Answer *job.Answer `cbor:"3,keyasint,omitempty"`
	}

	// TaskState is what an agent holds of a task.
	TaskState struct {
		Task   TaskID      `cbor:"1,keyasint"`
		Share  floor.Share `cbor:"2,keyasint"`
		Phase  Phase       `cbor:"3,keyasint"`
		Result *Result     `cbor:"4,keyasint,omitempty"`
	}

	// Announce tells a gate that an agent and its worker are there.
	Announce struct {
		Worker      floor.Worker `cbor:"1,keyasint"`
		Incarnation Incarnation  `cbor:"2,keyasint"`
		Epoch       lease.Epoch  `cbor:"3,keyasint"`
		Revision    Revision     `cbor:"4,keyasint"`
		Leaving     bool         `cbor:"5,keyasint,omitempty"`
		Draw        floor.Watts  `cbor:"6,keyasint,omitempty"`
	}

	// Redirect answers an Announce: it names the leader of the worker's region and
	// the newest revision that the gate holds.
	Redirect struct {
		Leader   machine.Node `cbor:"1,keyasint"`
		Epoch    lease.Epoch  `cbor:"2,keyasint"`
		Revision Revision     `cbor:"3,keyasint,omitempty"`
	}

	// Fence raises an agent's epoch and asks what it holds.
	Fence struct {
		Epoch    lease.Epoch `cbor:"1,keyasint"`
		Revision Revision    `cbor:"2,keyasint"`
	}

	// Holding answers a Fence: all tasks that the agent holds.
	Holding struct {
		Worker      floor.Worker `cbor:"1,keyasint"`
		Incarnation Incarnation  `cbor:"2,keyasint"`
		Epoch       lease.Epoch  `cbor:"3,keyasint"`
		Tasks       []TaskState  `cbor:"4,keyasint"`
		Leaving     bool         `cbor:"5,keyasint,omitempty"`
	}

	// Order heads what a leader tells an agent to do. An agent refuses orders
	// under an epoch or a revision below the highest that it has seen, and orders
	// for another incarnation.
	Order struct {
		Epoch       lease.Epoch `cbor:"1,keyasint"`
		Revision    Revision    `cbor:"2,keyasint"`
		Incarnation Incarnation `cbor:"3,keyasint"`
	}

	// Reserve asks an agent to set a share aside for a task. Peers are the agents
	// of all members by rank.
	Reserve struct {
		Order Order          `cbor:"1,keyasint"`
		Task  TaskID         `cbor:"2,keyasint"`
		Share floor.Share    `cbor:"3,keyasint"`
		Spec  job.Spec       `cbor:"4,keyasint"`
		Peers []machine.Node `cbor:"5,keyasint,omitempty"`
		Body  job.Digest     `cbor:"6,keyasint,omitempty"`
	}

	// Reserved answers a Reserve.
	Reserved struct {
		Epoch  lease.Epoch `cbor:"1,keyasint"`
		Task   TaskID      `cbor:"2,keyasint"`
		Reason string      `cbor:"3,keyasint,omitempty"`
	}

	// Run tells an agent that the start of an attempt is durable and that all
	// members are reserved.
	Run struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
	}

	// Running answers a Run.
	Running struct {
		Epoch lease.Epoch `cbor:"1,keyasint"`
		Task  TaskID      `cbor:"2,keyasint"`
	}

	// Stop tells an agent to stop a task, or to release its share. A task that
	// runs gets the grace to make a checkpoint, and is stopped when it is over.
	Stop struct {
		Order      Order         `cbor:"1,keyasint"`
		Task       TaskID        `cbor:"2,keyasint"`
		Checkpoint bool          `cbor:"3,keyasint,omitempty"`
		Grace      time.Duration `cbor:"4,keyasint,omitempty"`
	}

	// Throttle tells an agent to slow a task down or to let it run at full speed.
	Throttle struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
		Slow  bool   `cbor:"3,keyasint"`
	}

	// Stopped answers a Stop: the task does not run any more. Ran says whether it
	// was ever told to run.
	Stopped struct {
		Epoch lease.Epoch `cbor:"1,keyasint"`
		Task  TaskID      `cbor:"2,keyasint"`
		Ran   bool        `cbor:"3,keyasint,omitempty"`
	}

	// Ended tells the leader that a task has a result.
	Ended struct {
		Epoch  lease.Epoch `cbor:"1,keyasint"`
		Task   TaskID      `cbor:"2,keyasint"`
		Result Result      `cbor:"3,keyasint"`
	}

	// Settled tells an agent that a job's end is durable, so that the agent may
	// forget the task.
	Settled struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
	}

	// Submit hands a job to the leader of its region. Patience is the time that
	// is left until the gate refuses the job if it was not accepted. Wait says
	// that a caller waits for the end. Volatile permits a start without a durable
	// record: the gate will not refuse the job any more.
	Submit struct {
		ID       job.ID        `cbor:"1,keyasint"`
		Spec     job.Spec      `cbor:"2,keyasint"`
		Body     job.Digest    `cbor:"3,keyasint"`
		Revision Revision      `cbor:"4,keyasint"`
		Patience time.Duration `cbor:"5,keyasint,omitempty"`
		Wait     bool          `cbor:"6,keyasint,omitempty"`
		Volatile bool          `cbor:"7,keyasint,omitempty"`
	}

	// Pending tells a gate that a job cannot be made durable now, and asks it for
	// a Submit that permits a start without.
	Pending struct {
		ID job.ID `cbor:"1,keyasint"`
	}

	// Watch asks the leader to send the state of jobs when they end.
	Watch struct {
		Jobs []job.ID `cbor:"1,keyasint"`
	}

	// Status tells a gate the state of a job. Known is false if the leader has no
	// live job of that identity. Volatile is true if the record is not durable
	// yet.
	Status struct {
		Known    bool       `cbor:"1,keyasint"`
		Record   job.Record `cbor:"2,keyasint"`
		Volatile bool       `cbor:"3,keyasint,omitempty"`
	}

	// Cancel asks the leader to cancel a job.
	Cancel struct {
		ID      job.ID       `cbor:"1,keyasint"`
		Account account.Name `cbor:"2,keyasint"`
	}
)

func init() {
	Register[Announce](1)
	Register[Redirect](2)
	Register[Fence](3)
	Register[Holding](4)
	Register[Reserve](5)
	Register[Reserved](6)
	Register[Run](7)
	Register[Running](8)
	Register[Stop](9)
	Register[Stopped](10)
	Register[Ended](11)
	Register[Settled](12)
	Register[Submit](13)
	Register[Watch](14)
	Register[Status](15)
	Register[Cancel](16)
	Register[Throttle](17)
	Register[Pending](18)
}
