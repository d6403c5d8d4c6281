package serve_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/platform"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/internal/serve"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// lineHook calls a function at each line of the log.
type lineHook struct {
	klog.LogSink
	call func(line string)
}

func (lineHook) Init(klog.RuntimeInfo)               {}
func (lineHook) Enabled(int) bool                    { return true }
func (l lineHook) Info(_ int, line string, _ ...any) { l.call(line) }

// TestConfigurationDuringTakeover guards against a leader that plans with an old configuration
// since the new one came while it built its state: the queue's pool changes meanwhile.
func TestConfigurationDuringTakeover(t *testing.T) {
	memory := platform.NewMemory()
	put := func(key table.Key, value []byte) {
		if _, err := memory.Commit(t.Context(), table.Txn{Writes: []table.Write{{Key: key, Value: value}}}); err != nil {
			t.Error(err)
		}
	}
	job, err := cbor.Marshal(region.Submission{Job: work.Job{ID: "j1", Queue: "q", Steps: []work.Step{{Count: 1}}}, Pool: "old"})
	if err != nil {
		t.Fatal(err)
	}
	put(region.JobPrefix+"j1", job)
	put(configurationKey, []byte("old"))
	gate := serve.NewGate(serve.GateConfig{
		Node: "127.0.0.1:7000", Service: service{memory}, ConfigurationKey: configurationKey, HoldTime: 6 * time.Second,
		Decode: func(pool []byte) (*configuration.Configuration, error) {
			version := map[string]configuration.Version{"old": 1, "new": 2}[string(pool)]
			return configuration.New(version, []configuration.Queue{{ID: "q", Pool: work.PoolID(pool)}}, nil, configuration.Limits{}), nil
		},
	})
	klog.SetLogger(klog.New(lineHook{call: func(line string) {
		if line == "job admitted" {
			put(configurationKey, []byte("new"))
			if err := gate.Refresh(t.Context()); err != nil {
				t.Error(err)
			}
		}
	}}))
	defer klog.ClearLogger()
	go gate.Run(t.Context())
	report := control.Report{Agent: "a", Incarnation: 1, Complete: true, Runner: &control.Runner{Pool: "new"}, Wait: 50 * time.Millisecond}
	for began := time.Now(); time.Since(began) < 10*time.Second; {
		report.Seq++
		orders := gate.Report(t.Context(), report)
		if report.Epoch = orders.Epoch; len(orders.Starts) > 0 {
			return
		}
	}
	t.Error("the job does not start in the queue's new pool")
}
