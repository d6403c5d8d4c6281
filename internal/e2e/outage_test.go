package e2e_test

import (
	"bytes"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/platform"
)

// TestStandInDown takes the platform's stand-in down. An idempotent job runs and
// is answered at each gate, a non-idempotent one is refused as not run and does
// not run when the stand-in is back.
func TestStandInDown(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.warm()
	c.fault(string(platform.FaultDown))
	for i := range 2 {
		key := "down-" + c.gates[i]
		status, answer, err := c.submit(i, key, gang("report", true, "whole"), 20*time.Second)
		if err != nil || status != http.StatusOK || string(answer) != "whole" {
			t.Errorf("gate %d, idempotent: got %d %s %v", i, status, answer, err)
		}
		status, answer, err = c.submit(i, "once-"+key, gang("report", false, "once"), 20*time.Second)
		if err != nil || status != http.StatusServiceUnavailable || !bytes.Contains(answer, []byte(job.NotRun)) {
			t.Errorf("gate %d, non-idempotent: got %d %s %v", i, status, answer, err)
		}
	}
	c.fault(string(platform.FaultNone))
	c.until("the jobs are written", func() bool {
		status, _, err := c.submit(1, "down-"+c.gates[0], gang("report", true, "whole"), 0)
		again, _, failed := c.submit(0, "once-down-"+c.gates[1], gang("report", false, "once"), 0)
		return err == nil && failed == nil && status == http.StatusOK && again == http.StatusServiceUnavailable
	})
	for i := range 2 {
		if n := c.runs("down-" + c.gates[i]); n != 1 {
			t.Errorf("the idempotent job of gate %d ran %d times", i, n)
		}
		if n := c.runs("once-down-" + c.gates[i]); n != 0 {
			t.Errorf("the refused job of gate %d ran %d times", i, n)
		}
	}
}

// TestPausedGates stops each gate in turn for longer than the term of the lease,
// so that a leader is deposed and comes back, and looks that jobs run once.
func TestPausedGates(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.warm()
	for i, process := range c.gate {
		if err := process.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		other := 1 - i
		key := "paused-" + c.gates[i]
		c.until("a job runs at the other gate", func() bool {
			status, _, err := c.submit(other, key, gang("report", false, "sleep 100ms"), 30*time.Second)
			return err == nil && status == http.StatusOK
		})
		if err := process.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		c.until("the gate answers again", func() bool {
			status, _, err := c.submit(i, key, gang("report", false, "sleep 100ms"), 10*time.Second)
			return err == nil && status == http.StatusOK
		})
		if n := c.runs(key); n != 1 {
			t.Errorf("job %d ran %d times", i, n)
		}
	}
}

// TestGracefulGates shuts each gate down with a request open. The request gets its
// answer, and the process ends.
func TestGracefulGates(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.warm()
	for i := range 2 {
		done := make(chan struct{})
		key := "open-" + c.gates[i]
		go func() {
			defer close(done)
			status, answer, err := c.submit(i, key, gang("report", false, "sleep 3s"), 30*time.Second)
			if err != nil || status != http.StatusOK || string(answer) != "sleep 3s" {
				t.Errorf("gate %d: got %d %s %v", i, status, answer, err)
			}
		}()
		c.until("the job has started", func() bool { return c.runs(key) == 1 })
		if err := c.gate[i].Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := c.gate[i].Wait(); err != nil {
			t.Errorf("gate %d: %v", i, err)
		}
		<-done
		if n := c.runs(key); n != 1 {
			t.Errorf("the job of gate %d ran %d times", i, n)
		}
	}
}
