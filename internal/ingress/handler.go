package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

type (
	// connKey is the key of the connection in the context of a request.
	connKey struct{}

	// RefusedError says that a request was refused while its body was read. Status is
	// the HTTP status for it.
	RefusedError struct {
		Status int
		Reason Reason
	}

	// body is a request's body that is read against the budget.
	body struct {
		io.ReadCloser
		conn  *conn
		begun bool
		ended bool
	}
)

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s", e.Reason)
}

// Status returns the HTTP status for the error of reading a request's body: that of a
// RefusedError, and otherwise fallback.
func Status(err error, fallback int) int {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Status
	}
	return fallback
}

// limit wraps a handler. It answers 503 to a request whose head there is no memory for,
// and reads bodies against the budget.
func (g *group) limit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		g.mark(c, Serving)
		if encoding := r.Header.Get("Content-Encoding"); g.class == Peers && encoding != "" && encoding != "identity" {
			// A compressed message may hold far more than its size. No process sends one.
			g.refused(compressedMessage)
			w.WriteHeader(http.StatusUnsupportedMediaType)
			return
		}
		if !c.hold(headerCost(r.Header) - c.used) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			handler.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, conn: c}
		r.Body = b
		handler.ServeHTTP(w, r)
		r.Body = b.ReadCloser // the HTTP server looks at its own type
		if !b.ended {
			c.dropBody()
		}
	})
}

// headerCost returns the memory in bytes of the lines of a parsed head. Lines that were
// sent ahead, together with a former request, were not counted while they were read.
func headerCost(header http.Header) int64 {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return int64(lines * lineBytes)
}

// Read reads from the body. It returns a RefusedError if there is no memory for it, or if
// the client is too slow.
func (b *body) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.conn.beginBody()
	} else if !b.ended {
		b.conn.group.setPhase(b.conn, Receiving)
	}
	n, err := b.ReadCloser.Read(p)
	if !b.ended {
		b.conn.bodyArrived(n)
		b.conn.group.setPhase(b.conn, Serving)
	}
	if err != nil && !b.ended {
		b.ended = true
		b.conn.endBody()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.conn.group.refused(slowBody)
		return n, &RefusedError{Status: http.StatusRequestTimeout, Reason: slowBody}
	}
	if !b.conn.hold(int64(n) * b.conn.group.bodyFactor) {
		return 0, &RefusedError{Status: http.StatusServiceUnavailable, Reason: noMemory}
	}
	return n, err
}
