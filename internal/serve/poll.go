package serve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/region"
	"github.com/lovageroad/lovageroad/pkg/boottime"
)

// gatesInterval is the number of reports after which an agent is told all
// gates again. The list is longer than most orders.
const gatesInterval = 32

// poll is a report whose answer is held until there are orders for its agent (a
// long poll).
type poll struct {
	// seq is the sequence number of the report.
	seq uint64

	// wake is closed when there are orders or a newer report of the agent.
	wake chan struct{}
}

// report applies an agent's report and returns orders for the agent: as soon as
// there are any, and otherwise after report.Wait. A report that the core ignores, or
// that is followed by a newer one, is answered at once. It returns false if this gate
// does not lead, or has not loaded the region's state within report.Wait, or if the
// agent obeys a later leader.
//
// received is when the gate received the report.
func (l *leader) report(ctx context.Context, report control.Report, received time.Time) (control.Orders, bool) {
	if report.Epoch > l.epoch || !l.awaitLoaded(ctx, report.Wait) {
		return control.Orders{}, false
	}
	if report.Epoch != l.epoch {
		klog.InfoS("report under another epoch", "epoch", l.epoch, "worker", report.Agent, "reportEpoch", report.Epoch,
			"reportSeq", report.Seq, "incarnation", report.Incarnation, "held", boottime.Now().Sub(received).Round(time.Millisecond))
	}
	var p poll
	answerNow := true
	l.update(func(now time.Time, core *region.Core) {
		if !core.Report(now, report) {
			return
		}
		core.Plan(now)
		if old, ok := l.polls[report.Agent]; ok {
			close(old.wake)
		}
		delete(l.polls, report.Agent)
		answerNow = core.OrdersPending(report.Agent)
		if !answerNow {
			p = poll{seq: report.Seq, wake: make(chan struct{})}
			l.polls[report.Agent] = p
		}
	})
	if !answerNow {
		l.awaitOrders(ctx, report, p)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.core == nil || l.ctx.Err() != nil || !l.gate.leaseValid() {
		return control.Orders{}, false
	}
	orders := l.core.Orders(boottime.Now(), report.Agent, report.Incarnation)
	orders.Leader = l.gate.config.Node
	if report.Epoch != l.epoch || report.Seq%gatesInterval == 0 {
		orders.Gates = l.gate.redirect().Gates
	}
	return orders, true
}

// awaitLoaded waits until the core is loaded. It returns false if the wait or a
// context ends first.
func (l *leader) awaitLoaded(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.loaded:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return false
}

// awaitOrders waits until there are orders for the agent, a newer report of the
// agent arrives, report.Wait has passed, or a context ends.
func (l *leader) awaitOrders(ctx context.Context, report control.Report, p poll) {
	timer := time.NewTimer(report.Wait)
	defer timer.Stop()
	select {
	case <-p.wake:
	case <-timer.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.polls[report.Agent].seq == p.seq {
		delete(l.polls, report.Agent)
	}
}
