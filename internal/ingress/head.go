package ingress

import "bytes"

const (
	// lineBytes is the memory of a header line besides its text: its entry in the map of
	// the header, with the garbage that the growth of the map leaves.
	lineBytes = 256

	// textFactor is how often the text of a head is held.
	textFactor = 2
)

// headMeter estimates the memory of a head from its bytes, before it is parsed. It may
// count some lines of a body that arrive in the same piece as the end of the head.
type headMeter struct {
	bytes, lines   int
	started, ended bool
}

// add counts a piece of the head.
func (m *headMeter) add(piece []byte) {
	if m.ended {
		return
	}
	if !m.started {
		// Empty lines before a request do not end its head.
		m.bytes += len(piece)
		piece = bytes.TrimLeft(piece, "\r\n")
		m.bytes -= len(piece)
		m.started = len(piece) > 0
	}
	for _, end := range [][]byte{[]byte("\n\r\n"), []byte("\n\n")} {
		if i := bytes.Index(piece, end); i >= 0 {
			piece, m.ended = piece[:i+len(end)], true
		}
	}
	m.bytes += len(piece)
	m.lines += bytes.Count(piece, []byte("\n"))
}

// cost returns the memory in bytes that the head takes when parsed.
func (m *headMeter) cost() int64 {
	return int64(textFactor*m.bytes + lineBytes*m.lines)
}
