package e2e_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	sampleTime     = 20 * time.Second
	ticksPerSecond = 100
)

// usage is what a process has used.
type usage struct {
	processor time.Duration
	memory    int
}

// BenchmarkIdle runs separate processes on loopback without jobs and reports
// the share of a core and the resident memory of a leader, of another gate and
// of an agent, by the number of agents.
func BenchmarkIdle(b *testing.B) {
	for _, agents := range []int{3, 30, 100} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, agents)
			}
		})
	}
}

func measureIdle(b *testing.B, agents int) {
	b.Helper()
	c := newCluster(b, 2, agents)
	c.until("a job runs", func() bool {
		status, _, err := c.submit(0, "warm", gang("report", false, "warm"), 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	processes := append(append([]*exec.Cmd{}, c.gate...), c.agents...)
	before := make([]usage, len(processes))
	for i, process := range processes {
		before[i] = usageOf(b, process)
	}
	<-time.After(sampleTime)
	shares := make([]float64, len(processes))
	memory := make([]float64, len(processes))
	for i, process := range processes {
		after := usageOf(b, process)
		shares[i] = 100 * float64(after.processor-before[i].processor) / float64(sampleTime)
		memory[i] = float64(after.memory) / 1024
	}
	b.ReportMetric(max(shares[0], shares[1]), "leader-core%")
	b.ReportMetric(max(memory[0], memory[1]), "leader-MiB")
	b.ReportMetric(min(shares[0], shares[1]), "gate-core%")
	b.ReportMetric(mean(shares[2:]), "agent-core%")
	b.ReportMetric(mean(memory[2:]), "agent-MiB")
}

// usageOf reads what a process has used: processor time, and memory in KiB.
func usageOf(b *testing.B, process *exec.Cmd) usage {
	b.Helper()
	base := "/proc/" + strconv.Itoa(process.Process.Pid)
	stat, err := os.ReadFile(base + "/stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12
	ticks := 0
	for _, field := range []int{user, system} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	status, err := os.ReadFile(base + "/status")
	if err != nil {
		b.Fatal(err)
	}
	u := usage{processor: time.Duration(ticks) * time.Second / ticksPerSecond}
	for _, line := range strings.Split(string(status), "\n") {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &u.memory); err == nil {
			break
		}
	}
	return u
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
