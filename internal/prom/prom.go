// Package prom defines the Prometheus metrics of gates and agents, updates them
// from the effects of the state machines, and serves them over HTTP.
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

	// maxReaders is the largest number of readers of the metrics at a time. Each takes
	// about a megabyte, for longer if it does not read on.
	maxReaders = 4
)

// Gate holds the metrics of a gate. Observe updates them, except those of Process.
// The help texts in NewGate describe each.
type Gate struct {
	registry         *prometheus.Registry
	queueTime        *prometheus.HistogramVec
	runTime          *prometheus.HistogramVec
	completionTime   *prometheus.HistogramVec
	attempts         *prometheus.CounterVec
	jobsEnded        *prometheus.CounterVec
	requestsRefused  *prometheus.CounterVec
	workerChanges    *prometheus.CounterVec
	jobsWaiting      *prometheus.GaugeVec
	jobsRunning      *prometheus.GaugeVec
	guaranteesAtRisk *prometheus.GaugeVec
	fragmentation    prometheus.Gauge
	leaseEpoch       prometheus.Gauge
	leaseHeld        prometheus.Gauge
	settingsRevision prometheus.Gauge
	settingsFresh    prometheus.Gauge
	*Process
}

// Process holds the metrics that gates and agents have in common.
type Process struct {
	operationTime   *prometheus.HistogramVec
	messagesDropped *prometheus.CounterVec
}

// NewGate creates the metrics of a gate in a registry of their own.
func NewGate() *Gate {
	registry := NewRegistry()
	factory := metricFactory{registry: registry}
	labels := []string{"account", "class"}
	return &Gate{
		registry:         registry,
		queueTime:        factory.histogram("job_queue_seconds", "Time from submission to the start of the last attempt.", labels, jobTimeBuckets()),
		runTime:          factory.histogram("job_run_seconds", "Time from the start of the last attempt to the end.", labels, jobTimeBuckets()),
		completionTime:   factory.histogram("job_completion_seconds", "Time from submission to the end.", labels, jobTimeBuckets()),
		attempts:         factory.counter("job_attempts_total", "Starts of jobs that have ended.", labels),
		jobsEnded:        factory.counter("jobs_ended_total", "Jobs that ended, by state.", []string{"account", "state"}),
		requestsRefused:  factory.counter("requests_refused_total", "Requests refused, by reason.", []string{"reason"}),
		workerChanges:    factory.counter("worker_changes_total", "Workers that joined, left or were lost.", []string{"change"}),
		jobsWaiting:      factory.gaugeVec("jobs_waiting", "Jobs that wait, at the leader.", []string{"account"}),
		jobsRunning:      factory.gaugeVec("jobs_running", "Jobs that run, at the leader.", []string{"account"}),
		guaranteesAtRisk: factory.gaugeVec("guarantees_at_risk", "Guaranteed shapes that failed workers have broken, at the leader.", []string{"account"}),
		fragmentation:    factory.gauge("fragmentation", "Share of free accelerators that cannot serve the largest waiting shape, at the leader."),
		leaseEpoch:       factory.gauge("lease_epoch", "Highest epoch of the region's lease seen."),
		leaseHeld:        factory.gauge("lease_held", "One if this gate leads the region."),
		settingsRevision: factory.gauge("settings_revision", "Revision of the settings held."),
		settingsFresh:    factory.gauge("settings_fresh", "One if the settings may be applied to new work."),
		Process:          newProcess(factory),
	}
}

// NewRegistry returns a registry with the metrics of the Go runtime and of the
// process.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return registry
}

// NewProcess creates the metrics that gates and agents have in common, and
// registers them.
func NewProcess(registry *prometheus.Registry) *Process {
	return newProcess(metricFactory{registry: registry})
}

func newProcess(factory metricFactory) *Process {
	return &Process{
		operationTime:   factory.histogram("store_seconds", "Operations of the platform's services, by kind and outcome.", []string{"operation", "outcome"}, operationTimeBuckets()),
		messagesDropped: factory.counter("messages_dropped_total", "Messages to other processes that were not delivered.", []string{"reason"}),
	}
}

// Handler returns an HTTP handler that serves the gate's metrics.
func (g *Gate) Handler() http.Handler {
	return Handler(g.registry)
}

// Registry returns the registry of the gate's metrics.
func (g *Gate) Registry() *prometheus.Registry {
	return g.registry
}

// Handler returns an HTTP handler that serves the metrics of a registry.
func Handler(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxReaders})
}

// Observe updates the metrics from an effect of the gate's state machine. It
// ignores effects without metrics.
func (g *Gate) Observe(effect machine.Effect) {
	switch e := effect.(type) {
	case gate.JobEnded:
		g.observeEnd(e)
	case gate.RegionObserved:
		g.observeRegion(e.Overview)
	case gate.RequestRefused:
		g.requestsRefused.WithLabelValues(string(e.Reason)).Inc()
	case gate.WorkerChanged:
		g.workerChanges.WithLabelValues(string(e.Change)).Inc()
	case gate.SettingsChanged:
		g.settingsRevision.Set(float64(e.Revision))
		g.settingsFresh.Set(0)
		if e.Fresh {
			g.settingsFresh.Set(1)
		}
	case gate.LeadershipChanged:
		g.leaseEpoch.Set(float64(e.Epoch))
		g.leaseHeld.Set(0)
		if e.Held {
			g.leaseHeld.Set(1)
			return
		}
		g.observeRegion(scheduler.Overview{})
	}
}

// observeRegion replaces all gauges of the region. It resets them first, so that
// deleted accounts do not keep stale gauges.
func (g *Gate) observeRegion(overview scheduler.Overview) {
	g.jobsWaiting.Reset()
	g.jobsRunning.Reset()
	g.guaranteesAtRisk.Reset()
	g.fragmentation.Set(overview.Fragmentation)
	for _, q := range overview.Queues {
		account := string(q.Account)
		g.jobsWaiting.WithLabelValues(account).Set(float64(q.Waiting))
		g.jobsRunning.WithLabelValues(account).Set(float64(q.Running))
		g.guaranteesAtRisk.WithLabelValues(account).Set(float64(q.AtRisk))
	}
}

// observeEnd records a job that has ended. A job that never started has no queue
// time and no run time.
func (g *Gate) observeEnd(e gate.JobEnded) {
	account, class := string(e.Account), string(e.Class)
	g.jobsEnded.WithLabelValues(account, string(e.State)).Inc()
	g.completionTime.WithLabelValues(account, class).Observe(e.Ended.Sub(e.Submitted).Seconds())
	g.attempts.WithLabelValues(account, class).Add(float64(e.Attempts))
	if e.Started.IsZero() {
		return
	}
	g.queueTime.WithLabelValues(account, class).Observe(e.Started.Sub(e.Submitted).Seconds())
	g.runTime.WithLabelValues(account, class).Observe(e.Ended.Sub(e.Started).Seconds())
}

// ObserveOperation records the duration of a call to the platform's services, by kind of
// operation and outcome.
func (p *Process) ObserveOperation(operation, outcome string, elapsed time.Duration) {
	p.operationTime.WithLabelValues(operation, outcome).Observe(elapsed.Seconds())
}

// CountDropped counts a message to another process that was not delivered.
func (p *Process) CountDropped(reason string) {
	p.messagesDropped.WithLabelValues(reason).Inc()
}

// jobTimeBuckets returns histogram buckets in seconds for queue, run and
// completion times. The bucket of 2 s is the bound for the start of urgent jobs,
// and the largest is one day.
func jobTimeBuckets() []float64 {
	return []float64{0.1, 0.5, 1, 2, 5, 30, 120, 600, 3600, 4 * 3600, 24 * 3600}
}

// operationTimeBuckets returns histogram buckets in seconds for single calls to the
// platform's services.
func operationTimeBuckets() []float64 {
	return []float64{0.001, 0.005, 0.02, 0.1, 0.5, 3}
}

// metricFactory creates metrics in the namespace and registers them.
type metricFactory struct {
	registry *prometheus.Registry
}

func (m metricFactory) histogram(name, help string, labels []string, buckets []float64) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m metricFactory) counter(name, help string, labels []string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m metricFactory) gaugeVec(name, help string, labels []string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m metricFactory) gauge(name, help string) prometheus.Gauge {
	v := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(v)
	return v
}
