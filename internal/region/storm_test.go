package region_test

import (
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/runner"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

type (
	// stormAgent is an agent, with the runner beside it.
	stormAgent struct {
		s           *storm
		id          control.AgentID
		incarnation control.Incarnation
		core        *runner.Core
		runner      *stormRunner
		clockRate   float64
		cutUntil    time.Time

		// hungUntil is until when the runner answers no calls, startsAt when a new
		// incarnation of it comes up, and pausedUntil until when the process is
		// suspended.
		hungUntil, startsAt, pausedUntil time.Time
		heartbeats                       uint64
	}

	// stormRunner is an incarnation of a runner.
	stormRunner struct {
		agent       *stormAgent
		clockBegan  time.Time
		description control.Runner
		token       runner.Token
		leaseEnd    runner.Clock
		lapsed      time.Time
		running     []stormRun
		highest     map[work.TaskID]work.Run
		results     []control.Result
		ended       map[control.ResultID]time.Time
		acked       control.ResultID
		lastID      control.ResultID
	}

	stormRun struct {
		id      work.TaskID
		run     work.Run
		end     time.Time
		outcome control.Outcome
	}
)

func newStormRunner(a *stormAgent) *stormRunner {
	began := time.Unix(0, 0)
	if a.s.restarts {
		began = a.s.now
	}
	return &stormRunner{
		agent: a, clockBegan: began, highest: make(map[work.TaskID]work.Run), ended: make(map[control.ResultID]time.Time),
		description: control.Runner{
			ID: control.RunnerID{Name: "runner-" + string(a.id), Incarnation: a.s.now.UnixMilli()}, Pool: pool, Rack: "r1",
			Capacity: work.Resources{Processor: 32000, Memory: 65536, Accelerators: 8},
		},
	}
}

// clock returns the runner's own clock, which may be slow.
func (r *stormRunner) clock() runner.Clock {
	return runner.Clock(float64(r.agent.s.now.Sub(r.clockBegan).Milliseconds()) * r.agent.clockRate)
}

// settle ends what has ended by now.
func (r *stormRunner) settle() {
	expired := r.clock() >= r.leaseEnd
	kept := r.running[:0:0]
	for _, run := range r.running {
		switch {
		case expired:
			r.end(run, control.Expired)
		case !r.agent.s.now.Before(run.end):
			r.end(run, run.outcome)
		default:
			kept = append(kept, run)
		}
	}
	r.running = kept
	if expired {
		r.lapsed = r.agent.s.now
	}
}

func (r *stormRunner) end(run stormRun, outcome control.Outcome) {
	r.lastID++
	r.results = append(r.results, control.Result{ID: r.lastID, Task: run.id, Run: run.run, Outcome: outcome})
	r.ended[r.lastID] = r.agent.s.now
	r.highest[run.id] = max(r.highest[run.id], run.run)
	r.agent.s.log("%s: %v run %d ended %s", r.agent.id, run.id, run.run, outcome)
}

// start carries out a start.
func (r *stormRunner) start(e runner.StartTask) runner.Answer {
	r.settle()
	s := r.agent.s
	if e.Token < r.token {
		return runner.Fenced
	}
	r.token = e.Token
	if e.Until <= r.clock() || e.Start.Run <= r.highest[e.Start.Task] {
		return runner.Refused
	}
	for _, run := range r.running {
		if run.id == e.Start.Task && run.run == e.Start.Run {
			return runner.Accepted
		}
	}
	s.log("%s: %v run %d starts", r.agent.id, e.Start.Task, e.Start.Run)
	s.checkStart(r.agent, e.Start)
	r.extend(e.Until)
	outcome := control.Done
	if s.chance(0.1) {
		outcome = control.Failed
	}
	run := stormRun{id: e.Start.Task, run: e.Start.Run, end: s.now.Add(s.between(100*time.Millisecond, 8*time.Second)), outcome: outcome}
	r.running = append(r.running, run)
	return runner.Accepted
}

// takes reports whether the runner carries out a call to an incarnation.
func (r *stormRunner) takes(id control.RunnerID) bool {
	return id == r.description.ID || r.agent.s.restarts && id.Name == r.description.ID.Name
}

// extend extends the lease, at most to the longest one.
func (r *stormRunner) extend(until runner.Clock) {
	r.leaseEnd = max(r.leaseEnd, min(until, r.clock()+runner.Clock(longestLease.Milliseconds())))
}

// checkStart checks that a task that starts neither runs nor has been done.
func (s *storm) checkStart(at *stormAgent, start control.Start) {
	for _, a := range s.agents {
		a.runner.settle()
		for _, run := range a.runner.running {
			if run.id == start.Task {
				s.t.Errorf("%v starts at %s as run %d while run %d is at %s", start.Task, at.id, start.Run, run.run, a.id)
			}
		}
	}
	if _, done := s.done[start.Task]; done {
		s.t.Errorf("%v starts at %s as run %d after it was done", start.Task, at.id, start.Run)
	}
	s.starts[start.Task] = append(s.starts[start.Task], s.now)
}

// acknowledge drops results. What was done must not have started since.
func (r *stormRunner) acknowledge(acked control.ResultID) {
	s := r.agent.s
	for len(r.results) > 0 && r.results[0].ID <= acked {
		result := r.results[0]
		r.results = r.results[1:]
		ended := r.ended[result.ID]
		if result.Outcome != control.Done || !r.lapsed.Before(ended) {
			continue
		}
		s.done[result.Task] = ended
		s.dones++
		for _, started := range s.starts[result.Task] {
			if started.After(ended) {
				s.t.Errorf("%v, which was done at %s, has started again", result.Task, r.agent.id)
			}
		}
	}
}

// restart replaces the agent's process.
func (a *stormAgent) restart() {
	a.incarnation++
	a.core = runner.New(a.id, a.incarnation, []machine.Node{"gate:0", "gate:1", "gate:2"})
	a.s.log("%s: process %d", a.id, a.incarnation)
	core := a.core
	a.s.every(core, a, 100*time.Millisecond, func() { a.step(core, runner.Tick{}) })
	a.s.every(core, a, 800*time.Millisecond, func() {
		if s := a.s; s.now.Before(a.hungUntil) || s.now.Before(a.startsAt) {
			return
		}
		a.heartbeats++
		a.step(core, runner.Heartbeat{Runner: a.runner.description, Seq: a.heartbeats, Clock: a.runner.clock()})
	})
}

// every calls run again and again while an agent's process lives.
func (s *storm) every(core *runner.Core, a *stormAgent, interval time.Duration, run func()) {
	s.after(s.between(0, interval), func() {
		if a.core == core {
			run()
			s.every(core, a, interval, run)
		}
	})
}

// step applies an event to a process, if it lives, and carries out its effects.
func (a *stormAgent) step(core *runner.Core, event any) {
	if a.core != core || core == nil {
		return
	}
	if a.s.now.Before(a.pausedUntil) {
		a.s.after(a.pausedUntil.Sub(a.s.now), func() { a.step(core, event) })
		return
	}
	for _, effect := range core.Step(a.s.now, event) {
		switch e := effect.(type) {
		case runner.Send:
			a.send(core, e)
		case runner.StartTask:
			call(a, core, 400*time.Millisecond, 0, func(answer runner.Answer, r *stormRunner) any {
				if answer == runner.Accepted {
					answer = runner.Refused
					if r.takes(e.Runner) {
						answer = r.start(e)
					}
				}
				clock := r.clock()
				return runner.StartResult{Call: e, Answer: answer, Clock: &clock}
			})
		case runner.StopTask:
			call(a, core, 400*time.Millisecond, 0, func(answer runner.Answer, r *stormRunner) any {
				if answer == runner.Accepted && r.takes(e.Runner) && e.Token >= r.token {
					r.stop(e.Stop)
				}
				return runner.StopResult{Call: e, Answer: answer}
			})
		case runner.RenewLease:
			wait := min(e.Wait, a.s.between(0, e.Wait+1))
			call(a, core, 400*time.Millisecond+e.Wait, wait, func(answer runner.Answer, r *stormRunner) any {
				result := runner.RenewLeaseResult{Call: e, Answer: answer}
				if answer == runner.Accepted {
					r.renew(e, &result)
				}
				return result
			})
		case runner.Log:
			a.s.log("%s: %s %v", a.id, e.Event, e.KeyValues)
		}
	}
}

func (r *stormRunner) stop(stop control.Stop) {
	r.settle()
	r.highest[stop.Task] = max(r.highest[stop.Task], stop.Run)
	for i, run := range r.running {
		if run.id == stop.Task && run.run == stop.Run {
			r.running = append(r.running[:i:i], r.running[i+1:]...)
			r.end(run, control.Stopped)
			return
		}
	}
}

func (r *stormRunner) renew(e runner.RenewLease, result *runner.RenewLeaseResult) {
	r.settle()
	result.Clock = r.clock()
	switch {
	case !r.takes(e.Runner):
		result.Answer = runner.OtherIncarnation
		return
	case e.Token < r.token:
		result.Answer = runner.Fenced
		return
	}
	r.token = e.Token
	if e.Runner != r.description.ID {
		result.Answer = runner.OtherIncarnation
	}
	r.extend(e.Until)
	r.acknowledge(e.Acked)
	for _, run := range r.running {
		result.Tasks = append(result.Tasks, control.Task{ID: run.id, Run: run.run, Phase: control.Running})
	}
	result.Results = append(result.Results, r.results...)
}

// call has the runner carry out a call after a delay, and passes the result to the
// process. An answer may be lost, and the call be carried out late.
func call(a *stormAgent, core *runner.Core, timeout, wait time.Duration, execute func(runner.Answer, *stormRunner) any) {
	s := a.s
	if s.now.Before(a.hungUntil) || s.now.Before(a.startsAt) {
		if s.now.Before(a.hungUntil) && s.chance(0.5) {
			s.after(a.hungUntil.Sub(s.now), func() { execute(runner.Accepted, a.runner) })
		}
		s.after(timeout, func() { a.step(core, execute(runner.NoAnswer, a.runner)) })
		return
	}
	if s.chance(0.04) {
		if s.chance(0.7) {
			s.after(s.between(0, 3*time.Second), func() { execute(runner.Accepted, a.runner) })
		}
		s.after(timeout, func() { a.step(core, execute(runner.NoAnswer, a.runner)) })
		return
	}
	s.after(s.between(0, 5*time.Millisecond)+wait, func() {
		result := execute(runner.Accepted, a.runner)
		s.after(s.between(0, 5*time.Millisecond), func() { a.step(core, result) })
	})
}

// send sends a report to a gate.
func (a *stormAgent) send(core *runner.Core, send runner.Send) {
	s := a.s
	settled := false
	settle := func(result runner.SendResult) {
		if !settled {
			settled = true
			a.step(core, result)
		}
	}
	s.after(send.Report.Wait+700*time.Millisecond, func() { settle(runner.SendResult{Call: send, Err: errCut}) })
	late := time.Duration(0)
	if s.now.Before(a.cutUntil) {
		if s.chance(0.7) {
			return
		}
		late = a.cutUntil.Sub(s.now)
	}
	s.after(late+s.delay(), func() {
		s.arrive(&heldReport{
			gate: send.To, report: send.Report, deadline: s.now.Add(2 * send.Report.Wait),
			respond: func(orders control.Orders) {
				if s.now.Before(a.cutUntil) {
					return
				}
				s.after(s.delay(), func() { settle(runner.SendResult{Call: send, Orders: orders}) })
			},
		})
	})
}
