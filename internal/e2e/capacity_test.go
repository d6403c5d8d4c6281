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
	sampleTime = 20 * time.Second

	// ticksPerSecond is the unit of processor times in /proc (USER_HZ).
	ticksPerSecond = 100
)

// processUsage is the processor time that a process has used and its resident
// memory.
type processUsage struct {
	processorTime time.Duration
	memoryKiB     int
}

// BenchmarkIdle runs gates and agents as separate processes that have no jobs. It
// reports by the number of agents the share of a core that the leader, the other
// gate and an agent use, and the resident memory of the leader and an agent.
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
	c.waitUntil("a job runs", func() bool {
		status, _, err := c.submit(0, "warm", gangBody("report", false, "warm"), 10*time.Second)
		return err == nil && status == http.StatusOK
	})
	processes := append(append([]*exec.Cmd{}, c.gates...), c.agents...)
	before := make([]processUsage, len(processes))
	for i, process := range processes {
		before[i] = readUsage(b, process)
	}
	<-time.After(sampleTime)
	shares := make([]float64, len(processes))
	memoryMiB := make([]float64, len(processes))
	for i, process := range processes {
		after := readUsage(b, process)
		shares[i] = 100 * float64(after.processorTime-before[i].processorTime) / float64(sampleTime)
		memoryMiB[i] = float64(after.memoryKiB) / 1024
	}
	b.ReportMetric(max(shares[0], shares[1]), "leader-core%")
	b.ReportMetric(max(memoryMiB[0], memoryMiB[1]), "leader-MiB")
	b.ReportMetric(min(shares[0], shares[1]), "gate-core%")
	b.ReportMetric(meanOf(shares[2:]), "agent-core%")
	b.ReportMetric(meanOf(memoryMiB[2:]), "agent-MiB")
}

// readUsage reads the usage of a process from /proc.
func readUsage(b *testing.B, process *exec.Cmd) processUsage {
	b.Helper()
	base := "/proc/" + strconv.Itoa(process.Process.Pid)
	stat, err := os.ReadFile(base + "/stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	// Indexes of the fields utime and stime after the command name.
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
	u := processUsage{processorTime: time.Duration(ticks) * time.Second / ticksPerSecond}
	for _, line := range strings.Split(string(status), "\n") {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &u.memoryKiB); err == nil {
			break
		}
	}
	return u
}

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
