package prom_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/job"
	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/scheduler"
)

// TestGate checks the metrics that the effects of a gate produce, and that a gate that
// has lost the leadership drops the gauges of the region.
func TestGate(t *testing.T) {
	m := prom.NewGate()
	submitted := time.Unix(100, 0)
	m.Observe(gate.JobEnded{
		Account: "depot", Class: "checks", State: job.StateDone, Attempts: 2,
		Submitted: submitted, Started: submitted.Add(time.Second), Ended: submitted.Add(5 * time.Second),
	})
	m.Observe(gate.RequestRefused{Reason: gate.ReasonQueue})
	m.Observe(gate.LeadershipChanged{Leader: "10.0.0.1:7000", Epoch: 4, Held: true})
	m.Observe(gate.RegionObserved{Overview: scheduler.Overview{
		Fragmentation: 0.25,
		Queues:        []scheduler.AccountState{{Account: "depot", Waiting: 3, Running: 1, AtRisk: 2}},
	}})
	text := scrape(m)
	for _, line := range []string{
		`lovageroad_job_queue_seconds_bucket{account="depot",class="checks",le="1"} 1`,
		`lovageroad_job_run_seconds_sum{account="depot",class="checks"} 4`,
		`lovageroad_job_completion_seconds_sum{account="depot",class="checks"} 5`,
		`lovageroad_job_attempts_total{account="depot",class="checks"} 2`,
		`lovageroad_jobs_ended_total{account="depot",state="done"} 1`,
		`lovageroad_requests_refused_total{reason="queue"} 1`,
		`lovageroad_lease_epoch 4`,
		`lovageroad_lease_held 1`,
		`lovageroad_fragmentation 0.25`,
		`lovageroad_guarantees_at_risk{account="depot"} 2`,
	} {
		if !strings.Contains(text, line+"\n") {
			t.Errorf("no line %s", line)
		}
	}
	m.Observe(gate.LeadershipChanged{Leader: "10.0.0.2:7000", Epoch: 5})
	if strings.Contains(scrape(m), `lovageroad_jobs_waiting{`) {
		t.Error("a gate that does not lead reports jobs that wait")
	}
}

// scrape returns the metrics as Prometheus reads them.
func scrape(m *prom.Gate) string {
	response := httptest.NewRecorder()
	m.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	return response.Body.String()
}
