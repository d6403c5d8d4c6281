package logs_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/logs"
)

// blockedOutput is an output that blocks until release is closed.
type blockedOutput struct{ release chan struct{} }

func (o blockedOutput) Write(line []byte) (int, error) {
	<-o.release
	return len(line), nil
}

// TestBlockedOutput writes far more lines than the queue holds to an output that
// blocks. The writes must not block.
func TestBlockedOutput(t *testing.T) {
	output := blockedOutput{release: make(chan struct{})}
	seconds := int64(0)
	w := logs.NewWriter(output, func() time.Time { seconds++; return time.Unix(seconds, 0) })
	for range 20_000 {
		if _, err := w.Write([]byte("I0101 a.go:1] \"task ended\" job=1\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(output.release)
	w.Close()
}

// TestRateLimit writes more lines of one kind in a second than the limit. Lines of
// other kinds must still be written, and the next second must report the number of
// dropped lines.
func TestRateLimit(t *testing.T) {
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
		t.Errorf("%d lines of the limited kind, want 400", n)
	}
	if !strings.Contains(text, "leader changed") || !strings.Contains(text, `kind="task ended" count=600`) {
		t.Errorf("missing lines in %q", text[len(text)-200:])
	}
}
