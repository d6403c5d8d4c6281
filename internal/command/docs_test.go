package command_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"mvdan.cc/sh/v3/shell"
)

// documentedPort is the first port of the command dev in the documentation's examples.
const documentedPort = 7100

// TestCallersPage runs the curl lines of docs/CALLERS.md, in order, against the
// command dev. Each must get status 200, so that the examples of the page work. The
// first is repeated until the region is ready.
func TestCallersPage(t *testing.T) {
	port := startDev(t)
	lines := pageLines(t, "../../docs/CALLERS.md", "curl ")
	if len(lines) == 0 {
		t.Fatal("the page has no curl line")
	}
	for i, line := range lines {
		request := parseCurl(t, line, port)
		status, body := do(t, request)
		for i == 0 && status != http.StatusOK {
			<-time.After(100 * time.Millisecond)
			status, body = do(t, parseCurl(t, line, port))
		}
		if status != http.StatusOK {
			t.Errorf("%s\ngot %d %s", line, status, body)
		}
	}
}

// startDev runs the command dev until the test ends and returns its first port.
func startDev(t *testing.T) int {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	port := freePorts(t)
	process := exec.Command(self, "dev", "--port", strconv.Itoa(port))
	process.Env = append(os.Environ(), commandEnv+"=yes")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := process.Process.Kill(); err != nil {
			t.Error(err)
		}
		if err := process.Wait(); err == nil {
			t.Error("dev ended by itself")
		}
	})
	return port
}

// TestOperationsPage runs the template and account commands of docs/OPERATIONS.md,
// in order, against the command dev. Each must succeed, so that the examples of the
// page work. The first is repeated until the region is ready.
func TestOperationsPage(t *testing.T) {
	port := startDev(t)
	lines := append(pageLines(t, "../../docs/OPERATIONS.md", "lovageroad template "),
		pageLines(t, "../../docs/OPERATIONS.md", "lovageroad account ")...)
	if len(lines) < 4 {
		t.Fatalf("the page has %d lines", len(lines))
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range lines {
		output, err := runLine(t, self, line, port)
		for tries := 0; i == 0 && err != nil && tries < 100; tries++ {
			<-time.After(100 * time.Millisecond)
			output, err = runLine(t, self, line, port)
		}
		if err != nil {
			t.Fatalf("%s\n%v: %s", line, err, output)
		}
	}
}

// runLine runs a command line of the documentation as an operator of the region at
// the port, and returns its output.
func runLine(t *testing.T, self, line string, port int) ([]byte, error) {
	t.Helper()
	words, err := shell.Fields(line, nil)
	if err != nil {
		t.Fatal(err)
	}
	process := exec.Command(self, words[1:]...)
	process.Env = append(os.Environ(), commandEnv+"=yes", "LOVAGEROAD_OPERATOR=dev-operator",
		"LOVAGEROAD_GATE=http://127.0.0.1:"+strconv.Itoa(port))
	return process.CombinedOutput()
}

// pageLines returns the lines of a page that are indented as code and start with
// the given text.
func pageLines(t *testing.T, path, start string) []string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if line, ok := strings.CutPrefix(scanner.Text(), "    "); ok && strings.HasPrefix(line, start) {
			lines = append(lines, line)
		}
	}
	return lines
}

// parseCurl returns the request of a curl command line, with the documentation's
// ports replaced by those of the running region.
func parseCurl(t *testing.T, line string, port int) *http.Request {
	t.Helper()
	for offset := range 2 {
		line = strings.ReplaceAll(line, ":"+strconv.Itoa(documentedPort+offset)+"/", ":"+strconv.Itoa(port+offset)+"/")
	}
	words, err := shell.Fields(line, nil)
	if err != nil {
		t.Fatal(err)
	}
	method, target, body, header := http.MethodGet, "", "", http.Header{}
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-s":
		case "-X":
			i++
			method = words[i]
		case "-d":
			i++
			body = words[i]
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			header.Set(name, value)
		default:
			target = words[i]
		}
	}
	request, err := http.NewRequestWithContext(context.Background(), method, target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	return request
}

// do makes a request and returns the status and the body, or zero and the error.
func do(t *testing.T, request *http.Request) (int, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}
