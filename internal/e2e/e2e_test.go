// Package e2e_test tests the roles (platform, gate and agent) as separate processes
// on loopback.
package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/caller"
	"github.com/lovageroad/lovageroad/internal/command"
	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/upstream"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// argumentsVariable is the environment variable that holds the arguments of
	// a role's process.
	argumentsVariable = "LOVAGEROAD_TEST_ARGUMENTS"
	waitLimit         = 60 * time.Second
	region            = "vidzeme"
	tenant            = "ozolini"
	token             = "field"
)

// TestMain runs a role instead of the tests if the environment names one, so that
// the tests can start the test binary as the processes of a cluster.
func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Exit(command.Main(strings.Split(arguments, " ")))
	}
	os.Exit(m.Run())
}

// cluster is a set of processes on loopback. Gates serve callers at gateAddresses,
// and other gates and agents at peerAddresses. Agent i is configured by
// agentConfigs[i] and executes its tasks on runners[i].
type cluster struct {
	t               testing.TB
	dir             string
	client          *platform.Client
	platformAddress string
	gateAddresses   []string
	peerAddresses   []string
	gates           []*exec.Cmd
	agents          []*exec.Cmd
	agentConfigs    []string
	runners         []*upstream.FakeRunner
}

// newCluster starts a platform and the given numbers of gates and agents.
func newCluster(t testing.TB, gates, agents int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), platformAddress: freeAddress(t)}
	c.startProcess("platform", fmt.Sprintf("[platform]\nlisten = %s\n", c.platformAddress))
	c.client = platform.NewClient("http://"+c.platformAddress, http.DefaultClient)
	c.createAccount()
	for range gates {
		c.gateAddresses = append(c.gateAddresses, freeAddress(t))
		c.peerAddresses = append(c.peerAddresses, freeAddress(t))
	}
	for i := range gates {
		c.gates = append(c.gates, c.startProcess("gate", fmt.Sprintf(
			"[gate]\nlisten = %s\npeer = %s\nregion = %s\ndatacentre = dc-1\nplatform = http://%s\ngates = %s\n",
			c.gateAddresses[i], c.peerAddresses[i], region, c.platformAddress, strings.Join(c.peerAddresses, ","))))
	}
	for i := range agents {
		c.addAgent(i)
	}
	return c
}

// addAgent starts an agent with a runner of its own.
func (c *cluster) addAgent(index int) {
	fake := upstream.NewFakeRunner()
	server := httptest.NewServer(fake.Handler())
	c.t.Cleanup(server.Close)
	c.runners = append(c.runners, fake)
	c.agentConfigs = append(c.agentConfigs, fmt.Sprintf(
		"[agent]\npeer = %s\nregion = %s\ndatacentre = dc-1\nrack = rack-1\nworker = worker-%d\naccelerators = 8\n"+
			"cores = 32\nmemory = 64GiB\ngates = %s\nupstream = %s\nplatform = http://%s\n",
		freeAddress(c.t), region, index, strings.Join(c.peerAddresses, ","), server.URL, c.platformAddress))
	c.agents = append(c.agents, c.startProcess("agent", c.agentConfigs[index]))
}

// startProcess starts a role with the given configuration. The process is killed at
// the end of the test, and its output is logged if the test failed.
func (c *cluster) startProcess(role, config string) *exec.Cmd {
	c.t.Helper()
	path := filepath.Join(c.dir, fmt.Sprintf("%s-%d.ini", role, time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		c.t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		c.t.Fatal(err)
	}
	process := exec.Command(self)
	process.Env = append(os.Environ(), argumentsVariable+"=lovageroad "+role+" "+path)
	var output bytes.Buffer
	process.Stderr = &output
	if err := process.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		c.kill(process)
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", role, output.String())
		}
	})
	return process
}

// kill kills a process and waits until it has exited.
func (c *cluster) kill(process *exec.Cmd) {
	if process.ProcessState != nil {
		return
	}
	if err := process.Process.Kill(); err != nil {
		c.t.Log(err)
	}
	if err := process.Wait(); err != nil {
		return
	}
}

// createAccount writes the account of the tests to the platform's table.
func (c *cluster) createAccount() {
	c.t.Helper()
	value, err := json.Marshal(account.Account{
		Name:       tenant,
		Region:     region,
		Parameters: account.DefaultParameters(),
		Tokens:     []account.TokenHash{account.HashToken(token)},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: gate.AccountKey(region, tenant), Value: value}}}
	c.waitUntil("the platform answers", func() bool {
		_, err := c.client.Commit(context.Background(), txn)
		return err == nil
	})
}

// waitUntil polls a condition. It fails the test if the condition does not hold
// within waitLimit.
func (c *cluster) waitUntil(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		if condition() {
			return
		}
		<-time.After(50 * time.Millisecond)
	}
	c.t.Fatalf("condition not met within %v: %s", waitLimit, description)
}

// submit submits a job under an idempotency key at a gate and returns the status
// and body of the response. The gate may wait for the job's end for the given time.
func (c *cluster) submit(gateIndex int, key, body string, wait time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.gateAddresses[gateIndex]+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set(caller.IdempotencyKeyHeader, key)
	request.Header.Set("Authorization", "Bearer "+token)
	if wait > 0 {
		request.Header.Set("Prefer", fmt.Sprintf("wait=%d", int(wait.Seconds())))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// runs returns how often a job was started. A gang counts once, by its member of
// rank zero.
func (c *cluster) runs(key string) int {
	total := 0
	for _, r := range c.runners {
		total += r.Runs(jobID(key))
	}
	return total
}

// addressCount is the number of addresses that freeAddress has returned.
var addressCount atomic.Uint32

// freeAddress returns an address on which nothing listens. Each test process has
// loopback addresses of its own, which depend on its process ID, and uses a different
// one for each call, so that no other process takes the port before it is used.
func freeAddress(t testing.TB) string {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%250, os.Getpid()%256, addressCount.Add(1)%250+1)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
