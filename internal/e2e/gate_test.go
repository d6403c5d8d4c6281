package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
)

func jobID(key string) job.ID {
	return job.NewID(tenant, key)
}

// gangBody returns a request for a gang of two members in one rack.
func gangBody(class string, idempotent bool, input string) string {
	return fmt.Sprintf(`{"account":%q,"class":%q,"idempotent":%v,"input":%q,`+
		`"shape":{"workers":2,"accelerators":1,"adjacency":"rack"}}`, tenant, class, idempotent, input)
}

// TestKilledGate kills a gate while callers wait for its responses. Each caller
// submits its key again at the other gate and gets the result of its own job. No
// job runs twice.
func TestKilledGate(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.waitUntil("a job runs", func() bool {
		status, _, err := c.submit(0, "first", gangBody("report", false, "warm"), 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	const callers = 8
	var waiting sync.WaitGroup
	for i := range callers {
		waiting.Go(func() {
			key := fmt.Sprintf("report-%d", i)
			body := gangBody("report", false, fmt.Sprintf("sleep %dms", 2000+i))
			if status, _, err := c.submit(0, key, body, 30*time.Second); err == nil {
				t.Errorf("caller %d got %d from the killed gate", i, status)
			}
			c.submitToSecondGate(key, body, fmt.Sprintf("sleep %dms", 2000+i))
		})
	}
	c.waitUntil("all jobs have started", func() bool {
		started := 0
		for i := range callers {
			started += c.runs(fmt.Sprintf("report-%d", i))
		}
		return started == callers
	})
	c.kill(c.gates[0])
	waiting.Wait()
	for i := range callers {
		if runs := c.runs(fmt.Sprintf("report-%d", i)); runs != 1 {
			t.Errorf("job %d ran %d times", i, runs)
		}
	}
}

// submitToSecondGate submits a job at the second gate until there is a response
// other than 503, and checks that it is the job's result.
func (c *cluster) submitToSecondGate(key, body, want string) {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		status, answer, err := c.submit(1, key, body, 30*time.Second)
		if err != nil || status == http.StatusServiceUnavailable {
			continue
		}
		if status != http.StatusOK || string(answer) != want {
			c.t.Errorf("key %s: got %d %q, want %q", key, status, answer, want)
		}
		return
	}
	c.t.Errorf("key %s: no answer in %v", key, waitLimit)
}

// TestKeyReuse submits one idempotency key with two bodies. The second body is
// rejected, and the job runs once.
func TestKeyReuse(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.waitUntil("a job runs", func() bool {
		status, _, err := c.submit(0, "key", gangBody("report", false, "one"), 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	status, answer, err := c.submit(1, "key", gangBody("report", false, "one"), 10*time.Second)
	if err != nil || status != http.StatusOK || string(answer) != "one" {
		t.Errorf("the same body: got %d %q %v", status, answer, err)
	}
	status, _, err = c.submit(1, "key", gangBody("report", false, "two"), 10*time.Second)
	if err != nil || status != http.StatusUnprocessableEntity {
		t.Errorf("another body: got %d %v", status, err)
	}
	if runs := c.runs("key"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}
