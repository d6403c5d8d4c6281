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

// TestPlatformDown has the platform refuse all operations. At each gate an idempotent
// job is accepted and run, and its result is delivered. A non-idempotent job is
// refused as not run, and does not run when the platform works again.
func TestPlatformDown(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.waitForGang()
	c.setFault(string(platform.FaultDown))
	for i := range 2 {
		key := "down-" + c.gateAddresses[i]
		status, answer, err := c.submit(i, key, gangBody("report", true, "whole"), 20*time.Second)
		if err != nil || status != http.StatusOK || string(answer) != "whole" {
			t.Errorf("gate %d, idempotent: got %d %s %v", i, status, answer, err)
		}
		status, answer, err = c.submit(i, "once-"+key, gangBody("report", false, "once"), 20*time.Second)
		if err != nil || status != http.StatusServiceUnavailable || !bytes.Contains(answer, []byte(job.NotRun)) {
			t.Errorf("gate %d, non-idempotent: got %d %s %v", i, status, answer, err)
		}
	}
	c.setFault(string(platform.FaultNone))
	c.waitUntil("each gate knows the outcome of a job of the other", func() bool {
		status, _, err := c.submit(1, "down-"+c.gateAddresses[0], gangBody("report", true, "whole"), 0)
		refusedStatus, _, refusedErr := c.submit(0, "once-down-"+c.gateAddresses[1], gangBody("report", false, "once"), 0)
		return err == nil && refusedErr == nil && status == http.StatusOK && refusedStatus == http.StatusServiceUnavailable
	})
	for i := range 2 {
		if n := c.runs("down-" + c.gateAddresses[i]); n != 1 {
			t.Errorf("the idempotent job of gate %d ran %d times", i, n)
		}
		if n := c.runs("once-down-" + c.gateAddresses[i]); n != 0 {
			t.Errorf("the refused job of gate %d ran %d times", i, n)
		}
	}
}

// TestPausedGates pauses each gate in turn for longer than the term of the lease, so
// that the leader loses its lease and is resumed later. It checks that jobs run once.
func TestPausedGates(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.waitForGang()
	for i, process := range c.gates {
		if err := process.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		other := 1 - i
		key := "paused-" + c.gateAddresses[i]
		c.waitUntil("a job runs at the other gate", func() bool {
			status, _, err := c.submit(other, key, gangBody("report", false, "sleep 100ms"), 30*time.Second)
			return err == nil && status == http.StatusOK
		})
		if err := process.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		c.waitUntil("the gate answers again", func() bool {
			status, _, err := c.submit(i, key, gangBody("report", false, "sleep 100ms"), 10*time.Second)
			return err == nil && status == http.StatusOK
		})
		if n := c.runs(key); n != 1 {
			t.Errorf("job %d ran %d times", i, n)
		}
	}
}

// TestGracefulShutdown shuts two gates of three down, one after the other, while a
// request is in flight. The request gets its answer, and the process exits.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.waitForGang()
	for i := range 2 {
		done := make(chan struct{})
		key := "open-" + c.gateAddresses[i]
		go func() {
			defer close(done)
			status, answer, err := c.submit(i, key, gangBody("report", false, "sleep 3s"), 30*time.Second)
			if err != nil || status != http.StatusOK || string(answer) != "sleep 3s" {
				t.Errorf("gate %d: got %d %s %v", i, status, answer, err)
			}
		}()
		c.waitUntil("the job has started", func() bool { return c.runs(key) == 1 })
		if err := c.gates[i].Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := c.gates[i].Wait(); err != nil {
			t.Errorf("gate %d: %v", i, err)
		}
		<-done
		if n := c.runs(key); n != 1 {
			t.Errorf("the job of gate %d ran %d times", i, n)
		}
	}
}
