package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/logs"
)

// stuck is an output that takes nothing.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

// TestStuckOutput writes far more than is queued to an output that hangs.
func TestStuckOutput(t *testing.T) {
	s := stuck{release: make(chan struct{})}
	seconds := int64(0)
	w := logs.NewWriter(s, func() time.Time { seconds++; return time.Unix(seconds, 0) })
	for range 20_000 {
		if _, err := w.Write([]byte("I0101 a.go:1] \"task ended\" job=1\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(s.release)
	w.Close()
}

// TestRate writes too many lines of one kind in a second. Other kinds go on, and
// the next second says how many are missing.
func TestRate(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1, 0)
	w := logs.NewWriter(&out, func() time.Time { return now })
	for range 1000 {
		w.Write([]byte("I0101 a.go:1] \"task ended\" job=1\n"))
	}
	w.Write([]byte("I0101 a.go:2] \"leader changed\" epoch=2\n"))
	now = time.Unix(2, 0)
	w.Write([]byte("I0101 a.go:1] \"task ended\" job=2\n"))
	w.Close()
	text := out.String()
	if n := strings.Count(text, `"task ended" job=1`); n != 400 {
		t.Errorf("%d lines of the kind", n)
	}
	if !strings.Contains(text, "leader changed") || !strings.Contains(text, `kind="task ended" count=600`) {
		t.Errorf("missing lines in %q", text[len(text)-200:])
	}
}
