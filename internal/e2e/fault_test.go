package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/upstream"
	ring "github.com/lovageroad/lovageroad/pkg/gang"
	"github.com/lovageroad/lovageroad/pkg/lease"
)

// answer is what a caller got in the end.
type answer struct {
	status int
	body   string
}

// ask submits at one gate after the other until an answer comes that is final.
func (c *cluster) ask(key, body string) answer {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		for i := range c.gates {
			status, data, err := c.submit(i, key, body, 5*time.Second)
			if err == nil && status != http.StatusAccepted && status != http.StatusServiceUnavailable {
				return answer{status: status, body: string(data)}
			}
		}
	}
	return answer{}
}

// begin asks for a job and returns the answer when the function returned is
// called. It returns once the job runs.
func (c *cluster) begin(key, body string) func() answer {
	c.t.Helper()
	got := make(chan answer, 1)
	go func() { got <- c.ask(key, body) }()
	c.until(key+" runs", func() bool { return c.runs(key) > 0 })
	return func() answer { return <-got }
}

// whole checks that a caller got its own whole answer, of a job that ran so many
// times.
func (c *cluster) whole(key string, got answer, input string, runs int) {
	c.t.Helper()
	if got.status != http.StatusOK || got.body != input {
		c.t.Errorf("%s: got %d %q, want %q", key, got.status, got.body, input)
	}
	if ran := c.runs(key); ran != runs {
		c.t.Errorf("%s ran %d times, want %d", key, ran, runs)
	}
}

// warm waits until a gang runs on all workers.
func (c *cluster) warm() {
	c.t.Helper()
	body := shaped(len(c.runners), true, "warm")
	c.until("a gang runs on all workers", func() bool {
		status, _, err := c.submit(0, "warm", body, 5*time.Second)
		return err == nil && status == http.StatusOK
	})
}

func shaped(workers int, idempotent bool, input string) string {
	return fmt.Sprintf(`{"account":%q,"class":"report","idempotent":%v,"input":%q,`+
		`"shape":{"workers":%d,"accelerators":1}}`, tenant, idempotent, input, workers)
}

func (c *cluster) signal(process *exec.Cmd, signal syscall.Signal) {
	c.t.Helper()
	if err := process.Process.Signal(signal); err != nil {
		c.t.Fatal(err)
	}
}

// exits waits until a process has ended by itself.
func (c *cluster) exits(process *exec.Cmd) {
	c.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			c.t.Errorf("it ended with %v", err)
		}
	case <-time.After(patience):
		c.t.Error("it has not ended")
	}
}

// leader returns the index of the gate that leads.
func (c *cluster) leader() int {
	c.t.Helper()
	found := -1
	c.until("a gate leads", func() bool {
		for i, address := range c.gates {
			response, err := http.Get("http://" + address + "/metrics")
			if err != nil {
				continue
			}
			data, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && bytes.Contains(data, []byte("\nlovageroad_lease_held 1\n")) {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

func (c *cluster) fault(fault string) {
	c.t.Helper()
	body := strings.NewReader(fmt.Sprintf(`{"fault":%q}`, fault))
	request, err := http.NewRequest(http.MethodPut, "http://"+c.platform+"/fault", body)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	response.Body.Close()
}

// rest lets real time pass that a fault is to last.
func rest(duration time.Duration) {
	<-time.After(duration)
}

// TestKilledAgent kills an agent in the middle of two gangs. All members stop,
// the idempotent gang runs again whole, and the other never again.
func TestKilledAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.warm()
	again := c.begin("again", shaped(3, true, "sleep 14s"))
	never := c.begin("never", shaped(3, false, "sleep 15s"))
	c.until("all members run", func() bool { return c.members("again", 1) == 3 && c.members("never", 1) == 3 })
	c.kill(c.agents[1])
	c.addAgent(3)
	c.until("the broken gang has stopped", func() bool { return c.members("never", 1) == 0 })
	c.whole("again", again(), "sleep 14s", 2)
	if got := never(); got.status == http.StatusOK || !strings.Contains(got.body, string(job.MayHaveRun)) {
		t.Errorf("the job that runs once: got %d %q", got.status, got.body)
	}
	if runs := c.runs("never"); runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
}

// TestNoLeader kills an agent in the middle of a gang together with the only
// gate. The others stop within the lease, though nobody tells them to.
func TestNoLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.warm()
	go c.submit(0, "gang", shaped(3, false, "sleep 5m"), time.Second)
	c.until("all members run", func() bool { return c.members("gang", 1) == 3 })
	c.kill(c.gate[0])
	c.kill(c.agents[1])
	killed := time.Now()
	c.until("the broken gang has stopped", func() bool { return c.members("gang", 1) == 0 })
	if took := time.Since(killed); took > 2*ring.DefaultLease {
		t.Errorf("it stopped after %v", took)
	}
}

// members returns the number of members of an attempt that run.
func (c *cluster) members(key string, attempt job.Attempt) int {
	count := 0
	for _, r := range c.runners {
		for _, name := range r.Running() {
			parts := strings.Split(name, "-")
			if parts[0] == string(jobID(key)) && parts[2] == fmt.Sprint(attempt) {
				count++
			}
		}
	}
	return count
}

// TestRestartedAgent kills an agent and starts it again beside the same runner:
// its task goes on and its result is delivered.
func TestRestartedAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.warm()
	got := c.begin("gang", shaped(2, false, "sleep 8s"))
	c.kill(c.agents[0])
	c.agents[0] = c.run("agent", c.texts[0])
	c.whole("gang", got(), "sleep 8s", 1)
}

// TestPausedLeader pauses the gate that leads for longer than its term. Another
// takes over, and the former leader does no harm when it goes on.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.warm()
	before := c.begin("before", shaped(2, false, "sleep 9s"))
	paused := c.leader()
	c.signal(c.gate[paused], syscall.SIGSTOP)
	other := 1 - paused
	c.until("another gate takes jobs", func() bool {
		status, _, err := c.submit(other, "during", shaped(2, false, "sleep 10ms"), 5*time.Second)
		return err == nil && status == http.StatusOK
	})
	c.signal(c.gate[paused], syscall.SIGCONT)
	var waiting sync.WaitGroup
	for i := range 6 {
		waiting.Go(func() {
			key := fmt.Sprintf("after-%d", i)
			c.whole(key, c.ask(key, shaped(1+i%2, false, fmt.Sprintf("sleep %dms", 300+i))), fmt.Sprintf("sleep %dms", 300+i), 1)
		})
	}
	waiting.Wait()
	c.whole("before", before(), "sleep 9s", 1)
	c.whole("during", c.ask("during", shaped(2, false, "sleep 10ms")), "sleep 10ms", 1)
}

// TestPausedAgent pauses an agent for less than the lease of its task: the task
// goes on, and its result is delivered.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.warm()
	got := c.begin("gang", shaped(2, false, "sleep 6s"))
	c.signal(c.agents[0], syscall.SIGSTOP)
	rest(lease.DefaultTerm / 2)
	c.signal(c.agents[0], syscall.SIGCONT)
	c.whole("gang", got(), "sleep 6s", 1)
}

// TestLeavingAgent asks an agent to leave while it runs a task. The task ends
// whole, its upstream gets no new work, and the process ends.
func TestLeavingAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.warm()
	got := c.begin("gang", shaped(2, false, "sleep 6s"))
	c.signal(c.agents[0], syscall.SIGTERM)
	rest(3 * time.Second)
	for i := range 8 {
		key := fmt.Sprintf("new-%d", i)
		c.whole(key, c.ask(key, shaped(1, false, key)), key, 1)
		if runs := c.runners[0].Runs(jobID(key)); runs > 0 {
			t.Errorf("%s ran on the upstream that leaves", key)
		}
	}
	c.whole("gang", got(), "sleep 6s", 1)
	c.exits(c.agents[0])
}

// TestLeavingRunner announces at the runner that its worker is leaving.
func TestLeavingRunner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.warm()
	c.runners[0].SetUsage(upstream.Usage{Leaving: true})
	rest(3 * time.Second)
	for i := range 8 {
		key := fmt.Sprintf("new-%d", i)
		c.whole(key, c.ask(key, shaped(1, false, key)), key, 1)
		if runs := c.runners[0].Runs(jobID(key)); runs > 0 {
			t.Errorf("%s ran on the upstream that leaves", key)
		}
	}
}

// TestLeavingGate asks a gate to shut down while callers wait at it. None is
// cut, and the process ends.
func TestLeavingGate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.warm()
	leaving := c.leader()
	var waiting sync.WaitGroup
	for i := range 6 {
		waiting.Go(func() {
			key, input := fmt.Sprintf("caller-%d", i), fmt.Sprintf("sleep %dms", 4000+i)
			status, data, err := c.submit(leaving, key, shaped(2, false, input), 20*time.Second)
			if err != nil {
				t.Errorf("%s was cut: %v", key, err)
				return
			}
			c.whole(key, answer{status: status, body: string(data)}, input, 1)
		})
	}
	c.until("all jobs run", func() bool {
		runs := 0
		for i := range 6 {
			runs += c.runs(fmt.Sprintf("caller-%d", i))
		}
		return runs == 6
	})
	c.signal(c.gate[leaving], syscall.SIGTERM)
	waiting.Wait()
	c.exits(c.gate[leaving])
	c.whole("next", c.askAt(1-leaving, "next"), "next", 1)
}

// askAt submits at one gate until the answer comes.
func (c *cluster) askAt(gate int, key string) answer {
	var got answer
	c.until(key+" is answered", func() bool {
		status, data, err := c.submit(gate, key, shaped(1, false, key), 5*time.Second)
		got = answer{status: status, body: string(data)}
		return err == nil && status == http.StatusOK
	})
	return got
}

// TestPlatformFaults takes the platform away, and lets it lie, while jobs run.
// Each runs once and is answered whole.
func TestPlatformFaults(t *testing.T) {
	for _, fault := range []string{"down", "lost"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 2)
			c.warm()
			first := c.begin("first", shaped(2, false, "sleep 3s"))
			second := c.begin("second", shaped(2, true, "sleep 12s"))
			c.fault(fault)
			rest(2 * lease.DefaultTerm)
			c.fault("none")
			c.whole("first", first(), "sleep 3s", 1)
			c.whole("second", second(), "sleep 12s", 1)
			c.whole("third", c.ask("third", shaped(2, false, "third")), "third", 1)
		})
	}
}
