package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/wire"
)

func (a *Agent) taskEnded(now time.Time, e TaskEnded) {
	t, ok := a.tasks[e.Task]
	if !ok || t.phase != wire.PhaseRunning {
		return
	}
	t.phase = wire.PhaseEnded
	t.result = &e.Result
	if t.stop {
		a.taskStopped(now, t.id)
		return
	}
	a.sendEnded(now, t)
}

func (a *Agent) taskStopped(now time.Time, id wire.TaskID) {
	t, ok := a.tasks[id]
	if !ok {
		return
	}
	a.forget(now, t)
	a.send(a.leader, wire.Stopped{Epoch: a.epoch, Task: id, Ran: true})
}

func (a *Agent) sendEnded(now time.Time, t *task) {
	t.resend = now.Add(a.config.Resend)
	if a.leader != "" {
		a.send(a.leader, wire.Ended{Epoch: a.epoch, Task: t.id, Result: *t.result})
	}
}

// sorted returns the tasks in a fixed order.
func sorted(tasks map[wire.TaskID]*task) []*task {
	list := make([]*task, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(x, y *task) int {
		return cmp.Or(
			cmp.Compare(x.id.Job, y.id.Job),
			cmp.Compare(x.id.Attempt, y.id.Attempt),
			cmp.Compare(x.id.Rank, y.id.Rank),
			cmp.Compare(x.id.Epoch, y.id.Epoch),
		)
	})
	return list
}
