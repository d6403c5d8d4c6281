// Package logs writes log lines without ever blocking a caller, and bounds how
// many lines of a kind it writes.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueue is the number of lines that wait for the output.
	maxQueue = 4096

	// maxRate is the number of lines of one kind in a second: a burst of jobs at
	// the target size stays below it.
	maxRate = 400

	// flushTime bounds the wait for the last lines when the process ends.
	flushTime = 200 * time.Millisecond
)

// Writer passes lines on to an output from a goroutine of its own. Lines over
// its bounds are dropped and counted. It is safe for use by several goroutines.
type Writer struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	second  int64
	counts  map[string]int
	dropped map[string]int
	closed  bool
}

// NewWriter returns a writer that runs until Close.
func NewWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{
		out: out, now: now, lines: make(chan []byte, maxQueue), done: make(chan struct{}),
		counts: make(map[string]int), dropped: make(map[string]int),
	}
	go w.run()
	return w
}

// Write takes a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if second := w.now().Unix(); second != w.second {
		w.report()
		w.second = second
		clear(w.counts)
	}
	kind := Kind(line)
	w.counts[kind]++
	if w.counts[kind] > maxRate {
		w.dropped[kind]++
		return len(line), nil
	}
	w.queue(kind, bytes.Clone(line))
	return len(line), nil
}

// report says what was dropped in the second that has passed. The caller holds
// the lock.
func (w *Writer) report() {
	dropped := w.dropped
	w.dropped = make(map[string]int)
	for kind, n := range dropped {
		w.queue(kind, fmt.Appendf(nil, "\"lines dropped\" kind=%q count=%d\n", kind, n))
	}
}

func (w *Writer) queue(kind string, line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped[kind]++
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			return
		}
	}
}

// Close writes what is queued, for a bounded time, and takes no more lines.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.report()
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTime):
	}
}

// Kind returns the message of a structured line, which is in quotes after the
// header.
func Kind(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`] "`))
	if !ok {
		return "plain"
	}
	kind, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(kind)
}
