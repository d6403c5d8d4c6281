package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
)

// TestReady queries the readiness of a gate, as a load balancer does. The gate is
// ready once it has read the settings. While it shuts down it still answers, but
// is not ready.
func TestReady(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.waitUntil("the gate is ready", func() bool { return c.readyStatus(0) == http.StatusOK })
	if err := c.gates[0].Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	c.waitUntil("the gate is not ready", func() bool { return c.readyStatus(0) == http.StatusServiceUnavailable })
}

// readyStatus returns the HTTP status of a gate's readiness, or zero if it does not
// answer.
func (c *cluster) readyStatus(gateIndex int) int {
	response, err := http.Get("http://" + c.gateAddresses[gateIndex] + "/readyz")
	if err != nil {
		return 0
	}
	if err := response.Body.Close(); err != nil {
		return 0
	}
	return response.StatusCode
}
