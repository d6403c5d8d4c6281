package prom

import (
	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/gate"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

// LogChange writes a log line for an effect that reports a step of the election, or
// a change of the leadership, the settings or a worker.
func LogChange(effect machine.Effect) {
	switch e := effect.(type) {
	case gate.LeadershipChanged:
		klog.InfoS("leadership changed", "leader", e.Leader, "epoch", e.Epoch, "held", e.Held)
	case gate.LeaseEvent:
		klog.InfoS(string(e.Kind), "epoch", e.Lease.Epoch, "holder", e.Lease.Holder, "renewals", e.Lease.Renewals,
			"version", e.Version, "held", e.Held, "age", e.Age, "reason", e.Err)
	case gate.SettingsChanged:
		klog.InfoS("settings changed", "revision", e.Revision, "fresh", e.Fresh)
	case gate.WorkerChanged:
		klog.InfoS("worker changed", "worker", e.Worker, "change", e.Change)
	}
}
