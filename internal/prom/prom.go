// Package prom keeps the metrics of a role and serves them to Prometheus.
package prom

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/internal/scheduler"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	namespace = "lovageroad"
)

// Gate keeps the metrics of a gate.
type Gate struct {
	registry *prometheus.Registry
	queued   *prometheus.HistogramVec
	ran      *prometheus.HistogramVec
	complete *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	ended    *prometheus.CounterVec
	refused  *prometheus.CounterVec
	workers  *prometheus.CounterVec
	waiting  *prometheus.GaugeVec
	running  *prometheus.GaugeVec
	risk     *prometheus.GaugeVec
	fragment prometheus.Gauge
	epoch    prometheus.Gauge
	leading  prometheus.Gauge
	revision prometheus.Gauge
	fresh    prometheus.Gauge
	*Process
}

// Process keeps the metrics that every role has.
type Process struct {
	store   *prometheus.HistogramVec
	dropped *prometheus.CounterVec
}

// NewGate returns the metrics of a gate.
func NewGate() *Gate {
	registry := NewRegistry()
	factory := maker{registry: registry}
	labels := []string{"account", "class"}
	return &Gate{
		registry: registry,
		queued:   factory.histogram("job_queue_seconds", "Time from submission to the start of the last attempt.", labels, longBuckets()),
		ran:      factory.histogram("job_run_seconds", "Time from the start of the last attempt to the end.", labels, longBuckets()),
		complete: factory.histogram("job_completion_seconds", "Time from submission to the end.", labels, longBuckets()),
		attempts: factory.counter("job_attempts_total", "Starts of jobs that have ended.", labels),
		ended:    factory.counter("jobs_ended_total", "Jobs that ended, by state.", []string{"account", "state"}),
		refused:  factory.counter("requests_refused_total", "Requests refused, by reason.", []string{"reason"}),
		workers:  factory.counter("worker_changes_total", "Workers that joined, left or were lost.", []string{"change"}),
		waiting:  factory.gauges("jobs_waiting", "Jobs that wait, at the leader.", []string{"account"}),
		running:  factory.gauges("jobs_running", "Jobs that run, at the leader.", []string{"account"}),
		risk:     factory.gauges("guarantees_at_risk", "Guaranteed shapes that failed workers have broken, at the leader.", []string{"account"}),
		fragment: factory.gauge("fragmentation", "Share of free accelerators that cannot serve the largest waiting shape, at the leader."),
		epoch:    factory.gauge("lease_epoch", "Highest epoch of the region's lease seen."),
		leading:  factory.gauge("lease_held", "One if this gate leads the region."),
		revision: factory.gauge("settings_revision", "Revision of the settings held."),
		fresh:    factory.gauge("settings_fresh", "One if the settings may be applied to new work."),
		Process:  newProcess(factory),
	}
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// NewProcess returns the metrics that every role has, in the registry.
func NewProcess(registry *prometheus.Registry) *Process {
	return newProcess(maker{registry: registry})
}

func newProcess(factory maker) *Process {
	return &Process{
		store:   factory.histogram("store_seconds", "Operations of the platform's services, by kind and outcome.", []string{"operation", "outcome"}, shortBuckets()),
		dropped: factory.counter("messages_dropped_total", "Messages to other processes that were not delivered.", []string{"reason"}),
	}
}

// Handler serves the metrics.
func (g *Gate) Handler() http.Handler {
	return Handler(g.registry)
}

// Registry returns the registry of the gate's metrics.
func (g *Gate) Registry() *prometheus.Registry {
	return g.registry
}

// Handler serves the metrics of a registry.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}

// Observe takes an effect of the gate's machine into the metrics.
func (g *Gate) Observe(effect machine.Effect) {
	switch e := effect.(type) {
	case gate.JobEnded:
		g.observeEnd(e)
	case gate.RegionObserved:
		g.observeRegion(e.Overview)
	case gate.JobRefused:
		g.refused.WithLabelValues(string(e.Reason)).Inc()
	case gate.WorkerChanged:
		g.workers.WithLabelValues(string(e.Change)).Inc()
	case gate.SettingsChanged:
		g.revision.Set(float64(e.Revision))
		g.fresh.Set(0)
		if e.Fresh {
			g.fresh.Set(1)
		}
	case gate.LeadershipChanged:
		g.epoch.Set(float64(e.Epoch))
		g.leading.Set(0)
		if e.Held {
			g.leading.Set(1)
			return
		}
		g.observeRegion(scheduler.Overview{})
	}
}

// observeRegion replaces the gauges of the region, so that accounts that have
// gone leave none behind.
func (g *Gate) observeRegion(overview scheduler.Overview) {
	g.waiting.Reset()
	g.running.Reset()
	g.risk.Reset()
	g.fragment.Set(overview.Fragmentation)
	for _, q := range overview.Queues {
		account := string(q.Account)
		g.waiting.WithLabelValues(account).Set(float64(q.Waiting))
		g.running.WithLabelValues(account).Set(float64(q.Running))
		g.risk.WithLabelValues(account).Set(float64(q.AtRisk))
	}
}

func (g *Gate) observeEnd(e gate.JobEnded) {
	account, class := string(e.Account), string(e.Class)
	g.ended.WithLabelValues(account, string(e.State)).Inc()
	g.complete.WithLabelValues(account, class).Observe(e.Ended.Sub(e.Submitted).Seconds())
	g.attempts.WithLabelValues(account, class).Add(float64(e.Attempts))
	if e.Started.IsZero() {
		return
	}
	g.queued.WithLabelValues(account, class).Observe(e.Started.Sub(e.Submitted).Seconds())
	g.ran.WithLabelValues(account, class).Observe(e.Ended.Sub(e.Started).Seconds())
}

// Store takes note of an operation of the platform's services.
func (p *Process) Store(operation, outcome string, elapsed time.Duration) {
	p.store.WithLabelValues(operation, outcome).Observe(elapsed.Seconds())
}

// Dropped takes note of a message that was not delivered.
func (p *Process) Dropped(reason string) {
	p.dropped.WithLabelValues(reason).Inc()
}

// longBuckets returns buckets in seconds for times from a start within the
// urgent bound of 2 s to jobs of a day.
func longBuckets() []float64 {
	return []float64{0.1, 0.5, 1, 2, 5, 30, 120, 600, 3600, 4 * 3600, 24 * 3600}
}

// shortBuckets returns buckets in seconds for single operations.
func shortBuckets() []float64 {
	return []float64{0.001, 0.005, 0.02, 0.1, 0.5, 3}
}

// maker makes metrics and registers them.
type maker struct {
	registry *prometheus.Registry
}

func (m maker) histogram(name, help string, labels []string, buckets []float64) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m maker) counter(name, help string, labels []string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m maker) gauges(name, help string, labels []string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m maker) gauge(name, help string) prometheus.Gauge {
	v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(v)
	return v
}
