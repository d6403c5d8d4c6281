package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
)

// TestReady asks a gate as the balancer does: it is ready once it knows the
// settings, and no longer once it shuts down, while it still answers.
func TestReady(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.until("the gate is ready", func() bool { return c.ready(0) == http.StatusOK })
	if err := c.gate[0].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c.until("the gate is not ready", func() bool { return c.ready(0) == http.StatusServiceUnavailable })
}

// ready returns the status of a gate's readiness, or zero if it does not answer.
func (c *cluster) ready(gateIndex int) int {
	response, err := http.Get("http://" + c.gates[gateIndex] + "/readyz")
	if err != nil {
		return 0
	}
	if err := response.Body.Close(); err != nil {
		return 0
	}
	return response.StatusCode
}
