package ingress

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	noConnection      Reason = "connections"
	evicted           Reason = "evicted"
	noMemory          Reason = "memory"
	slowBody          Reason = "slow body"
	unreadAnswer      Reason = "answer not read"
	compressedMessage Reason = "compressed message"
)

// logInterval is the least time between two log lines about one reason.
const logInterval = 10 * time.Second

type (
	// Reason is why a client was refused or its connection closed.
	Reason string

	// refusals counts those for one reason since the last log line.
	refusals struct {
		count    int
		loggedAt time.Time
	}

	// group is the open connections of one class. Its methods are safe for use by
	// several goroutines.
	group struct {
		class      Class
		bodyFactor int64
		count      func(class Class, reason Reason)
		now        func() time.Time
		mu         sync.Mutex
		ledger     *Ledger[*conn]
		reports    map[Reason]refusals
	}
)

func newGroup(class Class, quota Quota, count func(Class, Reason)) *group {
	return &group{
		class: class, bodyFactor: quota.BodyFactor, count: count, now: time.Now,
		ledger: NewLedger[*conn](quota), reports: make(map[Reason]refusals),
	}
}

// open admits a connection, for which another may be closed. It returns nil and closes
// the connection if there is no room.
func (g *group) open(raw net.Conn) *conn {
	c := &conn{Conn: raw, group: g, head: &headMeter{}}
	g.mu.Lock()
	holder, victim := g.ledger.Open(c, remoteAddress(raw), g.now())
	c.holder = holder
	g.mu.Unlock()
	if victim != nil {
		g.refused(evicted)
		_ = victim.Owner.Conn.Close() // returns when the descriptor is closed
	}
	if holder == nil {
		g.refused(noConnection)
		_ = raw.Close()
		return nil
	}
	return c
}

// remoteAddress returns the IP address of the other side of a connection.
func remoteAddress(c net.Conn) netip.Addr {
	tcp, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr()
}

func (g *group) close(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Close(c.holder)
}

func (g *group) mark(c *conn, phase Phase) (before Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Mark(c.holder, phase, g.now())
}

func (g *group) setPhase(c *conn, phase Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.SetPhase(c.holder, phase)
}

// release ends a request of a connection.
func (g *group) release(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Release(c.holder)
	g.ledger.Mark(c.holder, Idle, g.now())
}

// reserve reserves memory for a request, for which other connections may be closed.
func (g *group) reserve(c *conn, bytes int64) bool {
	g.mu.Lock()
	victims, ok := g.ledger.Reserve(c.holder, bytes, g.now())
	g.mu.Unlock()
	for _, v := range victims {
		g.refused(evicted)
		_ = v.Owner.Conn.Close()
	}
	if !ok {
		g.refused(noMemory)
	}
	return ok
}

// refused counts a refusal, and logs those for one reason together.
func (g *group) refused(reason Reason) {
	g.count(g.class, reason)
	g.mu.Lock()
	now := g.now()
	r := g.reports[reason]
	r.count++
	count, connections, bytes := r.count, g.ledger.Connections(), g.ledger.Bytes()
	due := now.Sub(r.loggedAt) >= logInterval
	if due {
		r = refusals{loggedAt: now}
	}
	g.reports[reason] = r
	g.mu.Unlock()
	if due {
		klog.InfoS("clients limited", "class", g.class, "reason", reason, "count", count, "connections", connections, "bytes", bytes)
	}
}

// usage returns what the connections of the class hold.
func (g *group) usage() (connections int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Connections(), g.ledger.Bytes()
}
