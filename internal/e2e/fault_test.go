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

// callerAnswer is the final response that a caller received.
type callerAnswer struct {
	status int
	body   string
}

// submitUntilFinal submits a job at one gate after the other until a response is
// final. It returns an empty answer if there is none within waitLimit.
func (c *cluster) submitUntilFinal(key, body string) callerAnswer {
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		for i := range c.gateAddresses {
			status, data, err := c.submit(i, key, body, 5*time.Second)
			if err == nil && status != http.StatusAccepted && status != http.StatusServiceUnavailable {
				return callerAnswer{status: status, body: string(data)}
			}
		}
	}
	return callerAnswer{}
}

// startJob submits a job and returns once the job runs. The returned function waits
// for the final answer.
func (c *cluster) startJob(key, body string) func() callerAnswer {
	c.t.Helper()
	answers := make(chan callerAnswer, 1)
	go func() { answers <- c.submitUntilFinal(key, body) }()
	c.waitUntil(key+" runs", func() bool { return c.runs(key) > 0 })
	return func() callerAnswer { return <-answers }
}

// checkAnswer checks that a caller received the complete result of its own job,
// which is the job's input, and that the job was started the given number of
// times.
func (c *cluster) checkAnswer(key string, received callerAnswer, input string, runs int) {
	c.t.Helper()
	if received.status != http.StatusOK || received.body != input {
		c.t.Errorf("%s: got %d %q, want %q", key, received.status, received.body, input)
	}
	if count := c.runs(key); count != runs {
		c.t.Errorf("%s ran %d times, want %d", key, count, runs)
	}
}

// waitForGang waits until a gang has run on all workers, so that all processes are
// ready.
func (c *cluster) waitForGang() {
	c.t.Helper()
	body := jobBody(len(c.runners), true, "warm")
	c.waitUntil("a gang runs on all workers", func() bool {
		status, _, err := c.submit(0, "warm", body, 5*time.Second)
		return err == nil && status == http.StatusOK
	})
}

// jobBody returns a request for a job with one accelerator on each worker. The fake
// runner sleeps if the input is "sleep" and a duration, and returns the input as the
// result.
func jobBody(workers int, idempotent bool, input string) string {
	return fmt.Sprintf(`{"account":%q,"class":"report","idempotent":%v,"input":%q,`+
		`"shape":{"workers":%d,"accelerators":1}}`, tenant, idempotent, input, workers)
}

func (c *cluster) signal(process *exec.Cmd, signal syscall.Signal) {
	c.t.Helper()
	if err := process.Process.Signal(signal); err != nil {
		c.t.Fatal(err)
	}
}

// waitForExit waits until a process exits by itself.
func (c *cluster) waitForExit(process *exec.Cmd) {
	c.t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			c.t.Errorf("the process exited with %v", err)
		}
	case <-time.After(waitLimit):
		c.t.Error("the process has not exited within the wait limit")
	}
}

// leader waits for a leader and returns the index of its gate.
func (c *cluster) leader() int {
	c.t.Helper()
	leader := -1
	c.waitUntil("a gate leads", func() bool {
		for i, address := range c.gateAddresses {
			response, err := http.Get("http://" + address + "/metrics")
			if err != nil {
				continue
			}
			data, err := io.ReadAll(response.Body)
			response.Body.Close()
			if err == nil && bytes.Contains(data, []byte("\nlovageroad_lease_held 1\n")) {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// setFault sets the fault of the platform, a platform.Fault.
func (c *cluster) setFault(fault string) {
	c.t.Helper()
	body := strings.NewReader(fmt.Sprintf(`{"fault":%q}`, fault))
	request, err := http.NewRequest(http.MethodPut, "http://"+c.platformAddress+"/fault", body)
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	response.Body.Close()
}

// sleep waits in real time, so that a fault lasts or a drain takes effect.
func sleep(duration time.Duration) {
	<-time.After(duration)
}

// TestKilledAgent kills an agent while it runs members of two gangs, and starts
// another agent. All other members stop, the idempotent gang runs again with all
// members, and the other does not run again.
func TestKilledAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.waitForGang()
	again := c.startJob("again", jobBody(3, true, "sleep 14s"))
	never := c.startJob("never", jobBody(3, false, "sleep 15s"))
	c.waitUntil("all members run", func() bool { return c.runningMembers("again", 1) == 3 && c.runningMembers("never", 1) == 3 })
	c.kill(c.agents[1])
	c.addAgent(3)
	c.waitUntil("the incomplete gang has stopped", func() bool { return c.runningMembers("never", 1) == 0 })
	c.checkAnswer("again", again(), "sleep 14s", 2)
	if got := never(); got.status == http.StatusOK || !strings.Contains(got.body, string(job.MayHaveRun)) {
		t.Errorf("the non-idempotent job: got %d %q", got.status, got.body)
	}
	if runs := c.runs("never"); runs != 1 {
		t.Errorf("the non-idempotent job ran %d times", runs)
	}
}

// TestNoLeader kills an agent that runs a member of a gang together with the only
// gate. The other members stop within twice the lease of the gang's members, without
// orders of a leader.
func TestNoLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.waitForGang()
	go c.submit(0, "gang", jobBody(3, false, "sleep 5m"), time.Second)
	c.waitUntil("all members run", func() bool { return c.runningMembers("gang", 1) == 3 })
	c.kill(c.gates[0])
	c.kill(c.agents[1])
	killed := time.Now()
	c.waitUntil("the incomplete gang has stopped", func() bool { return c.runningMembers("gang", 1) == 0 })
	if took := time.Since(killed); took > 2*ring.DefaultLease {
		t.Errorf("the gang stopped after %v", took)
	}
}

// runningMembers returns the number of running members of an attempt of a job. The
// names of tasks are JOB-EPOCH-ATTEMPT-RANK.
func (c *cluster) runningMembers(key string, attempt job.Attempt) int {
	members := 0
	for _, r := range c.runners {
		for _, name := range r.Running() {
			parts := strings.Split(name, "-")
			if parts[0] == string(jobID(key)) && parts[2] == fmt.Sprint(attempt) {
				members++
			}
		}
	}
	return members
}

// TestRestartedAgent kills an agent and starts it again with the same runner. Its
// task goes on and the result is delivered.
func TestRestartedAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.waitForGang()
	answer := c.startJob("gang", jobBody(2, false, "sleep 8s"))
	c.kill(c.agents[0])
	c.agents[0] = c.startProcess("agent", c.agentConfigs[0])
	c.checkAnswer("gang", answer(), "sleep 8s", 1)
}

// TestPausedLeader pauses the leader for longer than the term of its lease. Another
// gate takes over, and no job runs twice when the former leader is resumed.
func TestPausedLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.waitForGang()
	before := c.startJob("before", jobBody(2, false, "sleep 9s"))
	paused := c.leader()
	c.signal(c.gates[paused], syscall.SIGSTOP)
	other := 1 - paused
	c.waitUntil("another gate takes jobs", func() bool {
		status, _, err := c.submit(other, "during", jobBody(2, false, "sleep 10ms"), 5*time.Second)
		return err == nil && status == http.StatusOK
	})
	c.signal(c.gates[paused], syscall.SIGCONT)
	var waiting sync.WaitGroup
	for i := range 6 {
		waiting.Go(func() {
			key := fmt.Sprintf("after-%d", i)
			c.checkAnswer(key, c.submitUntilFinal(key, jobBody(1+i%2, false, fmt.Sprintf("sleep %dms", 300+i))), fmt.Sprintf("sleep %dms", 300+i), 1)
		})
	}
	waiting.Wait()
	c.checkAnswer("before", before(), "sleep 9s", 1)
	c.checkAnswer("during", c.submitUntilFinal("during", jobBody(2, false, "sleep 10ms")), "sleep 10ms", 1)
}

// TestPausedAgent pauses an agent for less than the lease of its task. The task goes
// on and the result is delivered.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.waitForGang()
	answer := c.startJob("gang", jobBody(2, false, "sleep 6s"))
	c.signal(c.agents[0], syscall.SIGSTOP)
	sleep(lease.DefaultTerm / 2)
	c.signal(c.agents[0], syscall.SIGCONT)
	c.checkAnswer("gang", answer(), "sleep 6s", 1)
}

// TestDrainingAgent shuts an agent down while it runs a task. The task completes, the
// agent's upstream gets no new work, and the process exits.
func TestDrainingAgent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.waitForGang()
	answer := c.startJob("gang", jobBody(2, false, "sleep 6s"))
	c.signal(c.agents[0], syscall.SIGTERM)
	sleep(3 * time.Second)
	for i := range 8 {
		key := fmt.Sprintf("new-%d", i)
		c.checkAnswer(key, c.submitUntilFinal(key, jobBody(1, false, key)), key, 1)
		if runs := c.runners[0].Runs(jobID(key)); runs > 0 {
			t.Errorf("%s ran on the draining upstream", key)
		}
	}
	c.checkAnswer("gang", answer(), "sleep 6s", 1)
	c.waitForExit(c.agents[0])
}

// TestDrainingRunner has a runner report that its worker is draining. The runner
// gets no new work.
func TestDrainingRunner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.waitForGang()
	c.runners[0].SetUsage(upstream.Usage{Draining: true})
	sleep(3 * time.Second)
	for i := range 8 {
		key := fmt.Sprintf("new-%d", i)
		c.checkAnswer(key, c.submitUntilFinal(key, jobBody(1, false, key)), key, 1)
		if runs := c.runners[0].Runs(jobID(key)); runs > 0 {
			t.Errorf("%s ran on the draining runner", key)
		}
	}
}

// TestDrainingGate shuts the leader down while callers wait for responses from it. All
// callers get their answers, and the process exits.
func TestDrainingGate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.waitForGang()
	draining := c.leader()
	var waiting sync.WaitGroup
	for i := range 6 {
		waiting.Go(func() {
			key, input := fmt.Sprintf("caller-%d", i), fmt.Sprintf("sleep %dms", 4000+i)
			status, data, err := c.submit(draining, key, jobBody(2, false, input), 20*time.Second)
			if err != nil {
				t.Errorf("%s got no response: %v", key, err)
				return
			}
			c.checkAnswer(key, callerAnswer{status: status, body: string(data)}, input, 1)
		})
	}
	c.waitUntil("all jobs run", func() bool {
		runs := 0
		for i := range 6 {
			runs += c.runs(fmt.Sprintf("caller-%d", i))
		}
		return runs == 6
	})
	c.signal(c.gates[draining], syscall.SIGTERM)
	waiting.Wait()
	c.waitForExit(c.gates[draining])
	c.checkAnswer("next", c.submitUntilOK(1-draining, "next"), "next", 1)
}

// submitUntilOK submits a job at one gate until the job's result is returned.
func (c *cluster) submitUntilOK(gateIndex int, key string) callerAnswer {
	var answer callerAnswer
	c.waitUntil(key+" is answered", func() bool {
		status, data, err := c.submit(gateIndex, key, jobBody(1, false, key), 5*time.Second)
		answer = callerAnswer{status: status, body: string(data)}
		return err == nil && status == http.StatusOK
	})
	return answer
}

// TestPlatformFaults has the platform refuse all operations, or lose the responses of
// all operations, while jobs run. Each job runs once and its result is delivered.
func TestPlatformFaults(t *testing.T) {
	for _, fault := range []string{"down", "lost"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 2)
			c.waitForGang()
			first := c.startJob("first", jobBody(2, false, "sleep 3s"))
			second := c.startJob("second", jobBody(2, true, "sleep 12s"))
			c.setFault(fault)
			sleep(2 * lease.DefaultTerm)
			c.setFault("none")
			c.checkAnswer("first", first(), "sleep 3s", 1)
			c.checkAnswer("second", second(), "sleep 12s", 1)
			c.checkAnswer("third", c.submitUntilFinal("third", jobBody(2, false, "third")), "third", 1)
		})
	}
}
