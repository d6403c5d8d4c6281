package serve

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lovageroad/lovageroad/internal/prom"
	"github.com/lovageroad/lovageroad/internal/region"
)

const namespace = "lovageroad"

// Metrics are the counters and histograms of a process.
type Metrics struct {
	registry *prometheus.Registry
	waited   *prometheus.HistogramVec
	took     *prometheus.HistogramVec
	ended    *prometheus.CounterVec
	events   *prometheus.CounterVec
	requests *prometheus.CounterVec
	epoch    prometheus.Gauge
	leading  prometheus.Gauge
	version  prometheus.Gauge
	open     prometheus.Gauge
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
	m.waited = histogram("job_wait_seconds", "Time from when the leader knew a job to its first running task.", "account", "queue")
	m.took = histogram("job_completion_seconds", "Time from when the leader knew a job to its end.", "account", "queue", "state")
	m.ended = counter("tasks_ended_total", "Ends of tasks, by how they ended.", "outcome")
	m.events = counter("events_total", "Decisions and changes of belief, as in the log.", "event")
	m.requests = counter("requests_total", "Answers to callers, by method and status.", "method", "status")
	m.epoch = gauge("lease_epoch", "Highest epoch seen.")
	m.leading = gauge("lease_held", "One if this gate leads.")
	m.version = gauge("configuration_version", "Version of the configuration in force.")
	m.open = gauge("table_open", "One if the table is reached directly.")
	m.open.Set(1)
	return m
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return prom.Handler(m.registry)
}

// Request counts an answer to a caller.
func (m *Metrics) Request(method, status string) {
	m.requests.WithLabelValues(method, status).Inc()
}

// observe counts a line of the log.
func (m *Metrics) observe(line region.Line) {
	m.events.WithLabelValues(line.Event).Inc()
	switch line.Event {
	case "job began":
		m.waited.WithLabelValues(string(line.Account), string(line.Queue)).Observe(line.Age.Seconds())
	case "job ended":
		m.took.WithLabelValues(string(line.Account), string(line.Queue), line.Outcome).Observe(line.Age.Seconds())
	case "task ended":
		m.ended.WithLabelValues(line.Outcome).Inc()
	}
}

// flag returns what a gauge shows for a condition.
func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
