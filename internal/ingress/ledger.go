package ingress

import (
	"container/list"
	"net/netip"
	"time"
)

const (
	// Idle says that a connection waits for its next request.
	Idle Phase = iota

	// Receiving says that the process reads a request that has begun.
	Receiving

	// Serving says that a request is being served. Its connection is not closed.
	Serving

	// Sending says that the process writes an answer.
	Sending
)

const (
	// stallTime is the time without progress after which a connection may be closed for
	// what another needs: above the round trip and a retransmission between data centres.
	stallTime = time.Second

	// smallBytes is the largest size of a request that may use the whole quota. Others
	// leave reservedShare of it, so that large requests don't keep small ones out.
	smallBytes    = 64 << 10
	reservedShare = 8
)

type (
	// Phase is what a connection is used for at present.
	Phase int

	// Holder is an open connection in a Ledger.
	Holder[T any] struct {
		Owner T

		address netip.Addr
		phase   Phase

		// marked is when the connection was opened, changed its phase or last made
		// progress.
		marked  time.Time
		bytes   int64
		element *list.Element
	}

	// Ledger keeps what the connections of a class hold, and decides who is admitted
	// and whose connection is closed for it. It is not safe for use by several
	// goroutines.
	Ledger[T any] struct {
		quota     Quota
		bytes     int64
		addresses map[netip.Addr]int

		// order has the holders by their marks, the oldest first.
		order *list.List
	}
)

// NewLedger returns a ledger without connections.
func NewLedger[T any](quota Quota) *Ledger[T] {
	return &Ledger[T]{quota: quota, addresses: make(map[netip.Addr]int), order: list.New()}
}

// Connections returns the number of open connections.
func (l *Ledger[T]) Connections() int { return l.order.Len() }

// Bytes returns the bytes that all requests hold.
func (l *Ledger[T]) Bytes() int64 { return l.bytes }

// Open admits a connection. If the quota is used up, another goes for it: the victim,
// which is no longer in the ledger. Open returns nil if all others are being served.
func (l *Ledger[T]) Open(owner T, address netip.Addr, now time.Time) (holder, victim *Holder[T]) {
	if l.order.Len() >= l.quota.Connections {
		victim = l.leastUseful(now)
		if victim == nil {
			return nil, nil
		}
		l.Close(victim)
	}
	holder = &Holder[T]{Owner: owner, address: address, marked: now}
	holder.element = l.order.PushBack(holder)
	l.addresses[address]++
	return holder, victim
}

// leastUseful returns the connection that is closed for a new one: that without progress
// for longest among those of addresses with more than their share of all connections, and
// otherwise among all. It returns nil if there is none.
func (l *Ledger[T]) leastUseful(now time.Time) *Holder[T] {
	share := l.quota.Connections / max(1, len(l.addresses))
	var oldest *Holder[T]
	for e := l.order.Front(); e != nil; e = e.Next() {
		h := e.Value.(*Holder[T])
		if h.phase == Serving || h.phase == Sending && now.Sub(h.marked) < stallTime {
			continue
		}
		if l.addresses[h.address] > share {
			return h
		}
		if oldest == nil {
			oldest = h
		}
	}
	return oldest
}

// Mark records that a connection has made progress or changed its phase, and returns its
// former phase.
func (l *Ledger[T]) Mark(h *Holder[T], phase Phase, now time.Time) Phase {
	before := h.phase
	h.phase, h.marked = phase, now
	if h.element != nil {
		l.order.MoveToBack(h.element)
	}
	return before
}

// SetPhase changes the phase of a connection that has made no progress.
func (l *Ledger[T]) SetPhase(h *Holder[T], phase Phase) { h.phase = phase }

// Reserve adds bytes to what the request of a connection holds. If the quota is used up,
// requests that hold some and have stalled go for it: the victims, which are no longer in
// the ledger. Reserve returns false if there is still no room, and then adds nothing.
func (l *Ledger[T]) Reserve(h *Holder[T], bytes int64, now time.Time) (victims []*Holder[T], ok bool) {
	if h.element == nil {
		return nil, false
	}
	limit := l.quota.Bytes
	if h.bytes+bytes > smallBytes {
		limit -= limit / reservedShare
	}
	for e := l.order.Front(); e != nil && l.bytes+bytes > limit; {
		other := e.Value.(*Holder[T])
		e = e.Next()
		if now.Sub(other.marked) < stallTime {
			break
		}
		if other != h && other.phase != Serving && other.bytes > 0 {
			l.Close(other)
			victims = append(victims, other)
		}
	}
	if l.bytes+bytes > limit {
		return victims, false
	}
	l.bytes += bytes
	h.bytes += bytes
	return victims, true
}

// Release drops what the request of a connection holds.
func (l *Ledger[T]) Release(h *Holder[T]) {
	if h.element == nil {
		return
	}
	l.bytes -= h.bytes
	h.bytes = 0
}

// Close removes a connection with all that it holds.
func (l *Ledger[T]) Close(h *Holder[T]) {
	if h.element == nil {
		return
	}
	l.Release(h)
	l.order.Remove(h.element)
	h.element = nil
	if l.addresses[h.address]--; l.addresses[h.address] == 0 {
		delete(l.addresses, h.address)
	}
}
