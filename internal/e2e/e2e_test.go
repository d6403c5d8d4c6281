// Package e2e_test runs the roles as separate processes on loopback.
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
	argumentsVariable = "LOVAGEROAD_TEST_ARGUMENTS"
	patience          = 60 * time.Second
	region            = "vidzeme"
	tenant            = "ozolini"
	secret            = "field"
)

// TestMain runs a role if the environment names one, so that a test can start
// the processes that it kills.
func TestMain(m *testing.M) {
	if arguments := os.Getenv(argumentsVariable); arguments != "" {
		os.Exit(command.Main(strings.Split(arguments, " ")))
	}
	os.Exit(m.Run())
}

// cluster is a set of processes on loopback.
type cluster struct {
	t        testing.TB
	dir      string
	store    *platform.Client
	platform string
	gates    []string
	peers    []string
	gate     []*exec.Cmd
	agents   []*exec.Cmd
	texts    []string
	runners  []*upstream.Fake
}

func newCluster(t testing.TB, gates, agents int) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), platform: free(t)}
	c.run("platform", fmt.Sprintf("[platform]\nlisten = %s\n", c.platform))
	c.store = platform.NewClient("http://"+c.platform, http.DefaultClient)
	c.seed()
	for range gates {
		c.gates = append(c.gates, free(t))
		c.peers = append(c.peers, free(t))
	}
	for i := range gates {
		c.gate = append(c.gate, c.run("gate", fmt.Sprintf(
			"[gate]\nlisten = %s\npeer = %s\nregion = %s\ndatacentre = dc-1\nplatform = http://%s\ngates = %s\n",
			c.gates[i], c.peers[i], region, c.platform, strings.Join(c.peers, ","))))
	}
	for i := range agents {
		c.addAgent(i)
	}
	return c
}

func (c *cluster) addAgent(i int) {
	fake := upstream.NewFake()
	server := httptest.NewServer(fake.Handler())
	c.t.Cleanup(server.Close)
	c.runners = append(c.runners, fake)
	c.texts = append(c.texts, fmt.Sprintf(
		"[agent]\npeer = %s\nregion = %s\ndatacentre = dc-1\nrack = rack-1\nworker = worker-%d\naccelerators = 8\n"+
			"cores = 32\nmemory = 64GiB\ngates = %s\nupstream = %s\nplatform = http://%s\n",
		free(c.t), region, i, strings.Join(c.peers, ","), server.URL, c.platform))
	c.agents = append(c.agents, c.run("agent", c.texts[i]))
}

func (c *cluster) run(role, text string) *exec.Cmd {
	c.t.Helper()
	path := filepath.Join(c.dir, fmt.Sprintf("%s-%d.ini", role, time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
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

func (c *cluster) seed() {
	c.t.Helper()
	value, err := json.Marshal(account.Account{
		Name:       tenant,
		Region:     region,
		Parameters: account.DefaultParameters(),
		Tokens:     []account.TokenHash{account.HashToken(secret)},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	txn := table.Txn{Writes: []table.Write{{Key: gate.AccountKey(region, tenant), Value: value}}}
	c.until("the platform answers", func() bool {
		_, err := c.store.Commit(context.Background(), txn)
		return err == nil
	})
}

// until polls until a condition holds.
func (c *cluster) until(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if holds() {
			return
		}
		<-time.After(50 * time.Millisecond)
	}
	c.t.Fatalf("not in %v: %s", patience, what)
}

// submit submits a job at a gate and returns the status and body.
func (c *cluster) submit(gateIndex int, key, body string, wait time.Duration) (int, []byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.gates[gateIndex]+"/v1/jobs", strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set(caller.KeyHeader, key)
	request.Header.Set("Authorization", "Bearer "+secret)
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

// runs returns how often a job was started on all runners.
func (c *cluster) runs(key string) int {
	total := 0
	for _, r := range c.runners {
		total += r.Runs(jobID(key))
	}
	return total
}

// addresses counts the addresses that were given out.
var addresses atomic.Uint32

// free returns an address on which nothing listens. Each test process has
// loopback addresses of its own and gives none out twice, so that nobody takes
// the port between now and its use.
func free(t testing.TB) string {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>8%250, os.Getpid()%256, addresses.Add(1)%250+1)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
