// Package logs writes log lines asynchronously, so that a slow or blocked output
// never blocks the code that logs, and limits the rate of each kind of line.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queueLength is the largest number of lines that wait for the output.
	queueLength = 4096

	// maxLinesPerSecond is the largest number of lines of one kind in a second. A
	// burst of jobs in a region of the target size stays below it.
	maxLinesPerSecond = 400

	// maxLineBytes is the largest length of a line. Longer ones, which may quote what a
	// client sent, are cut, so that a full queue stays below 8 MB.
	maxLineBytes = 2 << 10

	// flushTimeout is the longest time for which Close waits for queued lines to be
	// written.
	flushTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to an output from a goroutine of its own. It
// drops and counts lines that exceed the rate limit or the queue, and logs the
// counts with the first line of the next second and on Close. It is safe for use by
// several goroutines.
type Writer struct {
	out   io.Writer
	now   func() time.Time
	lines chan []byte
	done  chan struct{}

	mu sync.Mutex

	// counts is the number of lines by kind in the current second, and second is
	// the Unix time of that second.
	second int64
	counts map[string]int

	// dropped is the number of dropped lines by kind since the last report.
	dropped map[string]int
	closed  bool
}

// NewWriter returns a writer and starts its goroutine, which runs until Close.
func NewWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{
		out: out, now: now, lines: make(chan []byte, queueLength), done: make(chan struct{}),
		counts: make(map[string]int), dropped: make(map[string]int),
	}
	go w.run()
	return w
}

// Write queues or drops a line. It never blocks and never returns an error. After
// Close it drops all lines.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	if second := w.now().Unix(); second != w.second {
		w.reportDropped()
		w.second = second
		clear(w.counts)
	}
	kind := MessageOf(line)
	w.counts[kind]++
	if w.counts[kind] > maxLinesPerSecond {
		w.dropped[kind]++
		return len(line), nil
	}
	w.enqueue(kind, cut(line))
	return len(line), nil
}

// cut returns a copy of a line with at most maxLineBytes.
func cut(line []byte) []byte {
	if len(line) <= maxLineBytes {
		return bytes.Clone(line)
	}
	return append(bytes.Clone(line[:maxLineBytes-1]), '\n')
}

// reportDropped queues a line for each kind with dropped lines, with their number
// since the last report, and resets the counts. The caller holds the lock.
func (w *Writer) reportDropped() {
	dropped := w.dropped
	w.dropped = make(map[string]int)
	for kind, n := range dropped {
		w.enqueue(kind, fmt.Appendf(nil, "\"lines dropped\" kind=%q count=%d\n", kind, n))
	}
}

// enqueue queues a line, or counts it as dropped if the queue is full. The caller
// holds the lock.
func (w *Writer) enqueue(kind string, line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped[kind]++
	}
}

// run writes queued lines until Close. It ends early if the output fails; later
// lines are then dropped.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			return
		}
	}
}

// Close stops accepting lines and waits up to flushTimeout until the queued ones
// are written.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.reportDropped()
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// MessageOf returns the kind of a line: the message of a structured klog line, which is
// in quotes after the header, and "plain" for any other line.
func MessageOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, []byte(`] "`))
	if !ok {
		return "plain"
	}
	kind, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(kind)
}
