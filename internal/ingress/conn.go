package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// progressTimeout is the time within which progressBytes of a body must arrive, and
	// progressBytes of an answer be taken.
	progressTimeout = 10 * time.Second
	progressBytes   = 4 << 10

	// dropTimeout is the time for the rest of a body that nothing reads.
	dropTimeout = time.Second

	// reserveStep is the step in which a request reserves memory.
	reserveStep = 16 << 10

	// refusalTimeout bounds the write of refusal.
	refusalTimeout = 100 * time.Millisecond

	// refusal answers a request whose head there is no memory for. It has not been
	// served.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// conn is a client connection of a group. Its phases follow those of the HTTP server.
type conn struct {
	net.Conn
	group  *group
	holder *Holder[*conn]

	// The fields below are used by the goroutine that serves the connection.

	// head is the head that is being read, nil otherwise.
	head *headMeter

	// used is what the current request needs, of which reserved is in the ledger.
	used, reserved int64

	// unmarked is the number of bytes of a body since the last mark.
	unmarked int

	// deadlineMu guards the deadlines for reads: that of the HTTP server, and that by
	// which a body must make progress. The earlier applies.
	deadlineMu                       sync.Mutex
	serverDeadline, progressDeadline time.Time
}

// Read reads from the connection. It counts the bytes of a head, and ends the connection
// if there is no memory for it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.head == nil {
		return n, err
	}
	if c.head.bytes == 0 {
		c.group.mark(c, Receiving)
	}
	c.head.add(p[:n])
	if !c.hold(c.head.cost() - c.used) {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, refusal)
		return 0, io.EOF
	}
	return n, err
}

// Write writes to the connection. A client that does not read loses the connection.
func (c *conn) Write(p []byte) (int, error) {
	before := c.group.mark(c, Sending)
	_ = c.SetWriteDeadline(time.Now().Add(progressTimeout))
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.group.refused(unreadAnswer)
	}
	c.group.mark(c, before)
	return n, err
}

// Close closes the connection. Its place is free once the descriptor is closed.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.group.close(c)
	return err
}

// SetReadDeadline sets the deadline of the HTTP server.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.serverDeadline = t
	return c.applyDeadline()
}

// SetDeadline sets the deadlines for reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// setProgressDeadline sets the time by which a body must make progress, zero for none.
func (c *conn) setProgressDeadline(t time.Time) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.progressDeadline = t
	_ = c.applyDeadline()
}

func (c *conn) applyDeadline() error {
	t := c.serverDeadline
	if !c.progressDeadline.IsZero() && (t.IsZero() || c.progressDeadline.Before(t)) {
		t = c.progressDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// awaitRequest begins the wait for the next request.
func (c *conn) awaitRequest() {
	c.head = &headMeter{}
	c.setProgressDeadline(time.Time{})
	c.group.release(c)
	c.used, c.reserved = 0, 0
}

// endHead ends the head, which may not be valid.
func (c *conn) endHead() { c.head = nil }

// hold adds to what the current request needs. It returns false if there is no memory
// for it.
func (c *conn) hold(bytes int64) bool {
	if bytes <= 0 {
		return true
	}
	c.used += bytes
	missing := c.used - freeBytes - c.reserved
	if missing <= 0 {
		return true
	}
	missing = max(missing, reserveStep)
	if !c.group.reserve(c, missing) {
		return false
	}
	c.reserved += missing
	return true
}

// beginBody starts the time for a body.
func (c *conn) beginBody() {
	c.unmarked = 0
	c.setProgressDeadline(time.Now().Add(progressTimeout))
	c.group.mark(c, Receiving)
}

// dropBody bounds the time for the rest of a body. The HTTP server reads it before it
// sends the answer.
func (c *conn) dropBody() {
	c.setProgressDeadline(time.Now().Add(dropTimeout))
	c.group.release(c)
	c.group.mark(c, Receiving)
}

// bodyArrived notes that bytes of a body were read.
func (c *conn) bodyArrived(n int) {
	c.unmarked += n
	if c.unmarked < progressBytes {
		return
	}
	c.unmarked = 0
	c.setProgressDeadline(time.Now().Add(progressTimeout))
	c.group.mark(c, Receiving)
}

// endBody ends the time for a body.
func (c *conn) endBody() {
	c.setProgressDeadline(time.Time{})
	c.group.mark(c, Serving)
}
