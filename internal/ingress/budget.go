// Package ingress bounds what the clients of a process can take from it: connections,
// and the memory of heads and bodies. A Budget splits what the process may use between
// the classes of its listeners, a Ledger decides for one class who is admitted and whose
// connection goes, and Ingress applies both to HTTP servers.
package ingress

const (
	// defaultMemory and defaultDescriptors are assumed where a process is not told
	// its own.
	defaultMemory      = 1 << 30
	defaultDescriptors = 8192

	// fileDescriptors are the descriptors that sockets can't use. At most half of all
	// are set aside for this.
	fileDescriptors = 200

	// connectionBytes is the memory of an open connection: the stack of its goroutine,
	// the buffers of the HTTP server, and freeBytes.
	connectionBytes = 40 << 10

	// freeBytes is what a request may hold as part of its connection. An ordinary
	// request needs no more, and so does not depend on what others hold.
	freeBytes = 8 << 10

	// baseMemory is the part of the resident memory that the Go runtime does not count
	// as its own: the program's code and data, and the C library.
	baseMemory = 24 << 20

	// minCallerBytes and minPeerBytes admit one request at the limits of the class: a
	// head of 16 KB in the shortest lines with a body of 256 KB, or a message of 8 MB
	// between processes.
	minCallerBytes = 4 << 20
	minPeerBytes   = 20 << 20

	// minConnections admits some clients however small the limits are: a readiness check
	// a second, a reader of the metrics, and others that are slow.
	minConnections = 5
)

const (
	// Callers is the class of the listeners that anyone may reach.
	Callers Class = iota

	// Peers is the class of the listeners for other processes of the system and for the
	// runner on the same VM.
	Peers

	// Probes is the class of the listeners for readiness checks and metrics.
	Probes

	classCount
)

type (
	// Class is a class of listeners that share a quota.
	Class int

	// Resources are the memory in bytes and the number of descriptors that a process
	// may use, 0 if not known.
	Resources struct {
		Memory      int64
		Descriptors int
	}

	// Quota bounds the open connections of a class and the bytes of memory that their
	// requests may hold together. A body counts BodyFactor times: while it is read, and
	// decoded.
	Quota struct {
		Connections int
		Bytes       int64
		BodyFactor  int64
	}

	// Budget is the split of a process's resources. Heap is the bound of the memory that
	// the Go runtime manages, 0 for none.
	Budget struct {
		Quotas [classCount]Quota
		Heap   int64
	}
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	return [...]string{"callers", "peers", "probes"}[c]
}

// NewBudget splits resources between the classes. Callers get at most three eighths of the
// memory, so that no crowd of them takes what the leader and the reports of the agents
// need, and a quarter of the sockets: as many again are left for the calls to other
// services that their requests cause. Peers get connections for the agents of a large
// region. The leader's own calls use the sockets that are left.
func NewBudget(r Resources) Budget {
	memory, descriptors := r.Memory, r.Descriptors
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := descriptors - min(fileDescriptors, descriptors/2)
	connections := func(sockets int, memory int64) int {
		return max(minConnections, min(sockets, int(memory/connectionBytes)))
	}
	var b Budget
	b.Quotas[Callers] = Quota{Connections: connections(sockets/4, memory/4), Bytes: max(minCallerBytes, memory/8), BodyFactor: 4}
	b.Quotas[Peers] = Quota{Connections: connections(sockets*3/8, memory/3), Bytes: max(minPeerBytes, memory/4), BodyFactor: 2}
	b.Quotas[Probes] = Quota{Connections: connections(sockets/32, memory/64), Bytes: minCallerBytes, BodyFactor: 4}
	if r.Memory > 0 {
		unread := int64(b.Quotas[Callers].Connections+b.Quotas[Probes].Connections) * receiveBuffer
		b.Heap = max(memory-baseMemory-unread, memory/2)
	}
	return b
}
