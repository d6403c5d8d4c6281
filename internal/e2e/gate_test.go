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

func gang(class string, idempotent bool, input string) string {
	return fmt.Sprintf(`{"account":%q,"class":%q,"idempotent":%v,"input":%q,`+
		`"shape":{"workers":2,"accelerators":1,"adjacency":"rack"}}`, tenant, class, idempotent, input)
}

// TestKilledGate kills the gate that callers wait at. Each asks again with its
// key at the other gate and gets its own whole answer; no job runs twice.
func TestKilledGate(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.until("a job runs", func() bool {
		status, _, err := c.submit(0, "first", gang("report", false, "warm"), 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	const callers = 8
	var waiting sync.WaitGroup
	for i := range callers {
		waiting.Go(func() {
			key := fmt.Sprintf("report-%d", i)
			body := gang("report", false, fmt.Sprintf("sleep %dms", 2000+i))
			if status, _, err := c.submit(0, key, body, 30*time.Second); err == nil {
				t.Errorf("caller %d got %d from the killed gate", i, status)
			}
			c.askAgain(key, body, fmt.Sprintf("sleep %dms", 2000+i))
		})
	}
	c.until("all jobs have started", func() bool {
		started := 0
		for i := range callers {
			started += c.runs(fmt.Sprintf("report-%d", i))
		}
		return started == callers
	})
	c.kill(c.gate[0])
	waiting.Wait()
	for i := range callers {
		if runs := c.runs(fmt.Sprintf("report-%d", i)); runs != 1 {
			t.Errorf("job %d ran %d times", i, runs)
		}
	}
}

// askAgain submits at the second gate until the whole answer comes.
func (c *cluster) askAgain(key, body, want string) {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		status, answer, err := c.submit(1, key, body, 30*time.Second)
		if err != nil || status == http.StatusServiceUnavailable {
			continue
		}
		if status != http.StatusOK || string(answer) != want {
			c.t.Errorf("key %s: got %d %q, want %q", key, status, answer, want)
		}
		return
	}
	c.t.Errorf("key %s: no answer in %v", key, patience)
}

// TestKeyReuse submits one key with two bodies.
func TestKeyReuse(t *testing.T) {
	c := newCluster(t, 2, 2)
	c.until("a job runs", func() bool {
		status, _, err := c.submit(0, "key", gang("report", false, "one"), 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	status, answer, err := c.submit(1, "key", gang("report", false, "one"), 10*time.Second)
	if err != nil || status != http.StatusOK || string(answer) != "one" {
		t.Errorf("the same body: got %d %q %v", status, answer, err)
	}
	status, _, err = c.submit(1, "key", gang("report", false, "two"), 10*time.Second)
	if err != nil || status != http.StatusUnprocessableEntity {
		t.Errorf("another body: got %d %v", status, err)
	}
	if runs := c.runs("key"); runs != 1 {
		t.Errorf("ran %d times", runs)
	}
}
