package serve

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/region"
)

const namespace = "lovageroad"

// Metrics holds the Prometheus metrics of a gate or an agent.
type Metrics struct {
	registry             *prometheus.Registry
	jobWait              *prometheus.HistogramVec
	jobDuration          *prometheus.HistogramVec
	tasksEnded           *prometheus.CounterVec
	events               *prometheus.CounterVec
	requests             *prometheus.CounterVec
	leaseEpoch           prometheus.Gauge
	leaseHeld            prometheus.Gauge
	configurationVersion prometheus.Gauge
	directTableAccess    prometheus.Gauge
	speedsUneven         prometheus.Gauge
	workerSlowdown       prometheus.Histogram
	evacuationRequests   prometheus.Gauge
	evacuationTasks      *prometheus.GaugeVec
	accountShare         *prometheus.GaugeVec
	refusals             *prometheus.CounterVec
	forecastsIgnored     prometheus.Counter
	forecastAge          prometheus.Gauge
	forecastWait         *prometheus.GaugeVec
}

// NewMetrics returns the metrics of a process.
func NewMetrics() *Metrics {
	buckets := []float64{0.05, 0.1, 0.3, 1, 2, 4, 8, 16, 60, 600, 3600, 24 * 3600}
	m := &Metrics{registry: prom.NewRegistry()}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
		m.registry.MustRegister(h)
		return h
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	m.jobWait = histogram("job_wait_seconds", "Time from when the leader knew a job to its first running task.", "account", "queue")
	m.jobDuration = histogram("job_completion_seconds", "Time from when the leader knew a job to its end.", "account", "queue", "state")
	m.tasksEnded = counter("tasks_ended_total", "Ends of tasks, by how they ended.", "outcome")
	m.events = counter("events_total", "Decisions and changes of belief, as in the log.", "event")
	m.requests = counter("requests_total", "Answers to callers, by method and status.", "method", "status")
	m.leaseEpoch = gauge("lease_epoch", "Highest epoch seen.")
	m.leaseHeld = gauge("lease_held", "One if this gate leads.")
	m.configurationVersion = gauge("configuration_version", "Version of the configuration in force.")
	m.directTableAccess = gauge("table_open", "One if the table is reached directly.")
	m.directTableAccess.Set(1)
	m.speedsUneven = gauge("worker_speeds_uneven", "One if this gate leads and workers were found to differ in speed.")
	m.workerSlowdown = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "worker_slowdown", Help: "Run time against the usual one of workers that were found slow, fast or usual again.",
		Buckets: []float64{0.4, 0.6, 0.8, 1, 1.2, 1.5, 2, 3},
	})
	m.registry.MustRegister(m.workerSlowdown)
	m.evacuationRequests = gauge("evacuation_requests", "Data centres that are to be evacuated.")
	m.evacuationTasks = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "evacuation_tasks", Help: "Tasks left in a data centre that is being evacuated, as the leader knows them.",
	}, []string{"zone"})
	m.registry.MustRegister(m.evacuationTasks)
	m.accountShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "account_share", Help: "Share of a pool that an account holds beyond its guarantee, during a shortage there."}, []string{"pool", "account"})
	m.registry.MustRegister(m.accountShare)
	m.refusals = counter("jobs_refused_total", "Jobs refused since they can't be of value any more.", "queue", "reason")
	m.forecastAge = gauge("forecast_age_seconds", "Age of the forecast at the last submission, -1 if there is none.")
	m.forecastWait = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "forecast_wait_seconds", Help: "Earliest end of the last job that was handed in, from then.",
	}, []string{"queue"})
	m.forecastsIgnored = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "forecasts_ignored_total", Help: "Forecasts of the leader that were not valid.",
	})
	m.registry.MustRegister(m.forecastWait, m.forecastsIgnored)
	return m
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return prom.Handler(m.registry)
}

// Registry returns the registry of the metrics.
func (m *Metrics) Registry() *prometheus.Registry {
	return m.registry
}

// CountRequest counts an answer to a caller by its HTTP method and status.
func (m *Metrics) CountRequest(method, status string) {
	m.requests.WithLabelValues(method, status).Inc()
}

// observe updates the metrics for an event that the leader logs.
func (m *Metrics) observe(e region.LogEntry) {
	m.events.WithLabelValues(e.Event).Inc()
	switch e.Event {
	case "job began":
		m.jobWait.WithLabelValues(string(e.Account), string(e.Queue)).Observe(e.Age.Seconds())
	case "job ended":
		m.jobDuration.WithLabelValues(string(e.Account), string(e.Queue), e.Outcome).Observe(e.Age.Seconds())
	case "worker speed":
		m.workerSlowdown.Observe(e.Slowdown)
	case "speeds judged", "speeds loaded":
		m.speedsUneven.Set(gaugeValue(e.Outcome == region.UnevenSpeeds))
	case "task ended":
		m.tasksEnded.WithLabelValues(e.Outcome).Inc()
	case "shares", "shortage ends":
		m.accountShare.DeletePartialMatch(prometheus.Labels{"pool": string(e.Pool)})
		for account, share := range e.Shares {
			m.accountShare.WithLabelValues(string(e.Pool), string(account)).Set(share)
		}
	}
}

// setEvacuations sets how many tasks are left in the data centres that are being evacuated.
func (m *Metrics) setEvacuations(progress []region.EvacuationProgress) {
	m.evacuationTasks.Reset()
	for _, p := range progress {
		m.evacuationTasks.WithLabelValues(string(p.Zone)).Set(float64(p.Tasks))
	}
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
