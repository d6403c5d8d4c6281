package runner

import (
	"maps"
	"slices"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/pkg/machine"
)

const (
	// stopAgain is the wait before a stop that did not show is repeated.
	stopAgain = 700 * time.Millisecond

	// startLife bounds how long after it was sent a runner may still take a
	// start: a start that is carried out seconds later finds its lease over.
	startLife = 1500 * time.Millisecond

	// tryAgain is the wait before another gate is asked.
	tryAgain = 150 * time.Millisecond

	// distrust is how long the word of other gates is not taken that a leader
	// leads which did not answer: as long as they may take to find out.
	distrust = 3 * time.Second

	// maxPolls bounds the reports under way, and maxSearches those while no
	// leader is known.
	maxPolls    = 4
	maxSearches = 3

	// pollsPerHold is how often a leader's word renews the hold at least.
	pollsPerHold = 3

	// askAgain is the wait before a runner that did not answer is asked again.
	askAgain = 200 * time.Millisecond
)

// onHeard takes in the answer of a gate.
func (c *Core) onHeard(now time.Time, e Heard) {
	c.polls--
	c.asked[e.Call.To]--
	if e.Err != nil {
		c.lostGate(now, e.Call)
		return
	}
	c.Gates(e.Word.Gates)
	if !e.Word.Leads {
		c.follow(now, e)
		return
	}
	if e.Word.Epoch < c.epoch || now.Sub(e.Call.Sent) > c.config.Answer {
		return
	}
	if e.Word.Epoch > c.epoch {
		c.log("leader found", "epoch", e.Word.Epoch, "leader", e.Call.To, "before", c.epoch)
		c.epoch, c.heard, c.counter = e.Word.Epoch, 0, 0
		c.report = true
	}
	c.fence = e.Word.Fence
	if e.Word.Poll > 0 {
		c.poll = min(e.Word.Poll, c.config.Hold/pollsPerHold)
	}
	c.leader, c.nextTry = e.Call.To, time.Time{}
	if e.Word.Serial <= c.heard {
		return
	}
	if c.runner == nil || e.Word.Runner != c.runner.ID || c.gone {
		return
	}
	if c.listed {
		// A word whose starts are left undone must not count as heard: the
		// leader would take them to be over.
		c.heard = e.Word.Serial
	}
	c.obey(now, e)
}

// lostGate asks another gate after one that did not answer.
func (c *Core) lostGate(now time.Time, call Send) {
	if call.To == c.leader {
		c.leader = ""
		c.lost, c.lostAt = call.To, now
		// Only the connection may be lost: the search begins with the leader.
		c.turn = max(slices.Index(c.gates, call.To), 0)
		c.log("leader lost", "leader", call.To, "epoch", c.epoch)
	}
	c.report = true
	c.nextTry = now.Add(tryAgain)
}

// follow goes to the leader that another gate names.
func (c *Core) follow(now time.Time, e Heard) {
	old := e.Word.Leader == c.lost && e.Word.Epoch <= c.epoch && now.Sub(c.lostAt) < distrust
	if e.Word.Epoch >= c.epoch && e.Word.Leader != "" && e.Word.Leader != e.Call.To && !old {
		c.leader = e.Word.Leader
	} else if c.leader == e.Call.To {
		c.leader = ""
	}
	c.report = true
	c.nextTry = now.Add(tryAgain)
}

// obey carries out a leader's word.
func (c *Core) obey(now time.Time, e Heard) {
	c.until = max(c.until, c.clockNow(e.Call.Sent)+Clock(c.config.Hold/time.Millisecond))
	c.noted = max(c.noted, e.Word.Noted)
	for n := range c.ends {
		if n <= c.noted {
			delete(c.ends, n)
		}
	}
	wanted := make(map[runKey]bool)
	for _, stop := range e.Word.Stops {
		wanted[runKey{stop.Task, stop.Run}] = true
		c.halt(stop)
	}
	for _, start := range e.Word.Starts {
		key := runKey{start.Task, start.Run}
		wanted[key] = true
		c.begin(now, key, start)
	}
	maps.DeleteFunc(c.refusals, func(key runKey, _ string) bool { return !wanted[key] })
}

// halt makes a run end. One that is not there never starts.
func (c *Core) halt(stop control.Stop) {
	key := runKey{stop.Task, stop.Run}
	if t := c.tasks[key]; t != nil {
		t.stop = true
		return
	}
	if c.listed && !c.over(key) {
		c.refuse(key, "stopped")
	}
}

// over reports whether a run is known to have ended.
func (c *Core) over(key runKey) bool {
	for _, e := range c.ends {
		if e.Task == key.task && e.Run == key.run {
			return true
		}
	}
	return false
}

func (c *Core) refuse(key runKey, reason string) {
	if _, ok := c.refusals[key]; ok {
		return
	}
	c.refusals[key] = reason
	c.report = true
	c.log("start refused", "task", key.task.String(), "run", key.run, "reason", reason)
}

// begin starts a task that the agent does not know yet.
func (c *Core) begin(now time.Time, key runKey, start control.Start) {
	_, refused := c.refusals[key]
	if !c.listed || refused || c.tasks[key] != nil || c.over(key) {
		return
	}
	if c.runner.Draining {
		c.refuse(key, "draining")
		return
	}
	if c.quiet(now) {
		c.refuse(key, "runner silent")
		return
	}
	t := &task{start: start, phase: control.Starting}
	c.tasks[key] = t
	c.call(now, t)
}

// call tells the runner to start a task.
func (c *Core) call(now time.Time, t *task) {
	t.token = c.token()
	until := min(c.until, c.clockNow(now)+Clock(startLife/time.Millisecond))
	c.tried = max(c.tried, until)
	c.effects = append(c.effects, StartTask{Runner: c.runner.ID, Start: t.start, Token: t.token, Until: until})
}

// onStart takes in a runner's answer to a start.
func (c *Core) onStart(now time.Time, e StartResult) {
	key := runKey{e.Call.Start.Task, e.Call.Start.Run}
	t := c.tasks[key]
	if t == nil || t.token != e.Call.Token || c.runner == nil || c.runner.ID != e.Call.Runner {
		return
	}
	c.touch(now, e.Answer)
	switch e.Answer {
	case Accepted:
		t.phase, t.answered = control.Running, now
		c.report = true
	case Fenced:
		if t.token < c.token() && !t.stop {
			c.call(now, t)
			return
		}
		delete(c.tasks, key)
		c.refuse(key, "fenced")
	case Refused, Unreached:
		delete(c.tasks, key)
		c.refuse(key, e.Reason)
	default:
		t.void = true
		c.counter++
		c.listing = 0
		c.log("start unanswered", "task", key.task.String(), "run", key.run, "token", c.token())
	}
}

// onStop takes in a runner's answer to a stop.
func (c *Core) onStop(now time.Time, e StopResult) {
	t := c.tasks[runKey{e.Call.Stop.Task, e.Call.Stop.Run}]
	c.touch(now, e.Answer)
	if e.Answer == Unanswered && t != nil {
		t.stopping = time.Time{}
	}
}

// touch takes note of a sign of life of the runner: any answer of its own.
func (c *Core) touch(now time.Time, answer Answer) {
	if answer != Unanswered && answer != Unreached {
		c.contact = now
	}
}

// work asks the runner and the leader for what is due.
func (c *Core) work(now time.Time) {
	c.stops(now)
	c.look(now)
	c.expire(now)
	c.tell(now)
}

func (c *Core) stops(now time.Time) {
	if c.runner == nil || c.gone {
		return
	}
	for _, key := range c.keys() {
		t := c.tasks[key]
		if !t.stop || t.phase != control.Running || now.Sub(t.stopping) < stopAgain {
			continue
		}
		t.stopping = now
		c.effects = append(c.effects, StopTask{
			Runner: c.runner.ID, Stop: control.Stop{Task: key.task, Run: key.run}, Token: c.token(),
		})
	}
}

// tell reports to the leader: at once if something has changed, and again when
// the last report is answered.
func (c *Core) tell(now time.Time) {
	searching := c.leader == "" && c.polls < maxSearches
	if now.Before(c.nextTry) || c.polls > 0 && !c.report && !searching || c.polls >= maxPolls {
		return
	}
	to := c.leader
	if to == "" {
		if len(c.gates) == 0 {
			return
		}
		to = c.search()
		c.nextTry = now.Add(tryAgain)
		if to == "" {
			return
		}
	}
	c.report = false
	c.polls++
	c.asked[to]++
	c.seq++
	c.effects = append(c.effects, Send{To: to, Report: c.compose(), Sent: now})
}

// search returns the next gate to ask for the leader: one that owes no answer.
func (c *Core) search() machine.Node {
	for range c.gates {
		to := c.gates[c.turn%len(c.gates)]
		c.turn++
		if c.asked[to] == 0 {
			return to
		}
	}
	return ""
}

func (c *Core) compose() control.Report {
	r := control.Report{
		Agent: c.id, Life: c.life, Seq: c.seq, Epoch: c.epoch, Heard: c.heard,
		Listed: c.listed, Lost: c.gone, Wait: c.poll,
	}
	if c.runner != nil {
		runner := *c.runner
		r.Runner = &runner
	}
	for _, key := range c.keys() {
		t := c.tasks[key]
		r.Tasks = append(r.Tasks, control.Task{
			ID: key.task, Run: key.run, Phase: t.phase, Checkpoint: t.saved, Percent: t.percent,
		})
	}
	for _, n := range slices.Sorted(maps.Keys(c.ends)) {
		r.Ends = append(r.Ends, c.ends[n])
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.refusals), compareRuns) {
		r.Refusals = append(r.Refusals, control.Refusal{Task: key.task, Run: key.run, Reason: c.refusals[key]})
	}
	return r
}
