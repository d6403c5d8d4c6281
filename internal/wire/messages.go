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
	// PhaseReserved is the phase of a task whose share is reserved.
	PhaseReserved Phase = "reserved"

	// PhaseRunning is the phase of a task that was ordered to run.
	PhaseRunning Phase = "running"

	// PhaseEnded is the phase of a task that has a result.
	PhaseEnded Phase = "ended"

	// PhaseStopped is the phase of a task that was stopped, or whose
	// reservation was released.
	PhaseStopped Phase = "stopped"
)

type (
	// Incarnation distinguishes successive process lifetimes at one address.
	Incarnation uint64

	// Revision numbers the accepted changes of the settings.
	Revision = revision.Number

	// Phase is the state of a task at its agent.
	Phase string

	// TaskID identifies one member of one attempt of a job. Two leaders may
	// number their attempts alike; Epoch, the lease epoch in which the attempt
	// was decided, distinguishes them.
	TaskID struct {
		Job     job.ID      `cbor:"1,keyasint"`
		Attempt job.Attempt `cbor:"2,keyasint"`
		Rank    job.Rank    `cbor:"3,keyasint"`
		Epoch   lease.Epoch `cbor:"4,keyasint"`
	}

	// Result is the outcome of one member's task. Only the answer of rank zero
	// becomes the job's answer.
	Result struct {
		Failed bool        `cbor:"1,keyasint"`
		Reason string      `cbor:"2,keyasint,omitempty"`
		Answer *job.Answer `cbor:"3,keyasint,omitempty"`
	}

	// TaskState is an agent's report on one of its tasks.
	TaskState struct {
		Task   TaskID           `cbor:"1,keyasint"`
		Share  floor.Allocation `cbor:"2,keyasint"`
		Phase  Phase            `cbor:"3,keyasint"`
		Result *Result          `cbor:"4,keyasint,omitempty"`
	}

	// Announce registers an agent and its worker with a gate. An agent repeats
	// it at a fixed interval to show that it is alive. Epoch and Revision are
	// the highest that the agent has seen, PowerDraw is the power draw of the
	// worker, and Draining reports that the worker is draining.
	Announce struct {
		Worker      floor.Worker `cbor:"1,keyasint"`
		Incarnation Incarnation  `cbor:"2,keyasint"`
		Epoch       lease.Epoch  `cbor:"3,keyasint"`
		Revision    Revision     `cbor:"4,keyasint"`
		Draining    bool         `cbor:"5,keyasint,omitempty"`
		PowerDraw   floor.Watts  `cbor:"6,keyasint,omitempty"`
	}

	// Redirect names the leader of the worker's region and the newest settings
	// revision that the gate holds. It answers an Announce; the leader also
	// sends it unasked to an agent that lacks the revision.
	Redirect struct {
		Leader   machine.Node `cbor:"1,keyasint"`
		Epoch    lease.Epoch  `cbor:"2,keyasint"`
		Revision Revision     `cbor:"3,keyasint,omitempty"`
	}

	// FenceNumber numbers the fences of one leader from one.
	FenceNumber uint64

	// Fence raises an agent's epoch and asks which tasks it holds. From then on
	// the agent refuses orders of earlier epochs. Only the given incarnation answers;
	// zero stands for any.
	Fence struct {
		Epoch       lease.Epoch `cbor:"1,keyasint"`
		Revision    Revision    `cbor:"2,keyasint"`
		Number      FenceNumber `cbor:"3,keyasint,omitempty"`
		Incarnation Incarnation `cbor:"4,keyasint,omitempty"`
	}

	// HeldTasks answers a Fence with all tasks that the agent holds. Fence is the
	// number of that fence, zero if it had none.
	HeldTasks struct {
		Worker      floor.Worker `cbor:"1,keyasint"`
		Incarnation Incarnation  `cbor:"2,keyasint"`
		Epoch       lease.Epoch  `cbor:"3,keyasint"`
		Tasks       []TaskState  `cbor:"4,keyasint"`
		Draining    bool         `cbor:"5,keyasint,omitempty"`
		Fence       FenceNumber  `cbor:"6,keyasint,omitempty"`
	}

	// Order is the header of every order from a leader to an agent. An agent
	// refuses an order that does not come from its leader in its current epoch,
	// whose revision is below the highest that it has seen, or that is for
	// another incarnation.
	Order struct {
		Epoch       lease.Epoch `cbor:"1,keyasint"`
		Revision    Revision    `cbor:"2,keyasint"`
		Incarnation Incarnation `cbor:"3,keyasint"`
	}

	// Reserve orders an agent to reserve a share for a task. Peers lists the
	// agents of all members by rank, and BodyDigest is the digest of the request
	// body.
	Reserve struct {
		Order      Order            `cbor:"1,keyasint"`
		Task       TaskID           `cbor:"2,keyasint"`
		Share      floor.Allocation `cbor:"3,keyasint"`
		Spec       job.Spec         `cbor:"4,keyasint"`
		Peers      []machine.Node   `cbor:"5,keyasint,omitempty"`
		BodyDigest job.Digest       `cbor:"6,keyasint,omitempty"`
	}

	// Reserved answers a Reserve. Reason is empty if the share is reserved, and
	// otherwise says why it is not.
	Reserved struct {
		Epoch  lease.Epoch `cbor:"1,keyasint"`
		Task   TaskID      `cbor:"2,keyasint"`
		Reason string      `cbor:"3,keyasint,omitempty"`
	}

	// Run orders an agent to run a reserved task. The leader sends it once all
	// members are reserved and the start of the attempt is durable, or while
	// the table is unavailable and the job may start without a durable record.
	Run struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
	}

	// Running answers a Run.
	Running struct {
		Epoch lease.Epoch `cbor:"1,keyasint"`
		Task  TaskID      `cbor:"2,keyasint"`
	}

	// Stop orders an agent to stop a task, or to release its reservation. With
	// Checkpoint set, a running task may make a checkpoint and is stopped when
	// Grace has passed.
	Stop struct {
		Order      Order         `cbor:"1,keyasint"`
		Task       TaskID        `cbor:"2,keyasint"`
		Checkpoint bool          `cbor:"3,keyasint,omitempty"`
		Grace      time.Duration `cbor:"4,keyasint,omitempty"`
	}

	// Throttle orders an agent to slow a task down or to let it run at full
	// speed.
	Throttle struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
		Slow  bool   `cbor:"3,keyasint"`
	}

	// Stopped answers a Stop once the task no longer runs. Ran reports whether
	// the task was ever ordered to run.
	Stopped struct {
		Epoch lease.Epoch `cbor:"1,keyasint"`
		Task  TaskID      `cbor:"2,keyasint"`
		Ran   bool        `cbor:"3,keyasint,omitempty"`
	}

	// Ended sends the leader the result of a task.
	Ended struct {
		Epoch  lease.Epoch `cbor:"1,keyasint"`
		Task   TaskID      `cbor:"2,keyasint"`
		Result Result      `cbor:"3,keyasint"`
	}

	// OutcomeDurable tells an agent that the outcome of a job is durable, so that the
	// agent may discard the task and its result.
	OutcomeDurable struct {
		Order Order  `cbor:"1,keyasint"`
		Task  TaskID `cbor:"2,keyasint"`
	}

	// Submit hands a job to the leader of its region. BodyDigest is the digest of
	// the request body. Timeout is the time left until the gate gives the job up
	// if it was not accepted. Wait reports that a caller waits for the outcome.
	// Volatile permits a start without a durable record: the gate promises not
	// to refuse the job any more.
	Submit struct {
		ID         job.ID        `cbor:"1,keyasint"`
		Spec       job.Spec      `cbor:"2,keyasint"`
		BodyDigest job.Digest    `cbor:"3,keyasint"`
		Revision   Revision      `cbor:"4,keyasint"`
		Timeout    time.Duration `cbor:"5,keyasint,omitempty"`
		Wait       bool          `cbor:"6,keyasint,omitempty"`
		Volatile   bool          `cbor:"7,keyasint,omitempty"`
	}

	// VolatileRequest tells a gate that a job cannot be made durable now, and asks for
	// a Submit with Volatile set.
	VolatileRequest struct {
		ID job.ID `cbor:"1,keyasint"`
	}

	// Watch subscribes the sender to the outcomes of jobs. The leader also
	// answers at once with the state of each, except for a job whose record is
	// not durable and may not be reported yet.
	Watch struct {
		Jobs []job.ID `cbor:"1,keyasint"`
	}

	// Status sends a gate the state of a job. Known is false if the leader has
	// no such job in memory; the table may have the record of an ended one.
	// Volatile is true if the record is not durable yet.
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
	Register[HeldTasks](4)
	Register[Reserve](5)
	Register[Reserved](6)
	Register[Run](7)
	Register[Running](8)
	Register[Stop](9)
	Register[Stopped](10)
	Register[Ended](11)
	Register[OutcomeDurable](12)
	Register[Submit](13)
	Register[Watch](14)
	Register[Status](15)
	Register[Cancel](16)
	Register[Throttle](17)
	Register[VolatileRequest](18)
}
