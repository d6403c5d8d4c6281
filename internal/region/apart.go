package region

import (
	"math"
	"time"

	"github.com/lovageroad/lovageroad/internal/control"
	"github.com/lovageroad/lovageroad/internal/interference"
	"github.com/lovageroad/lovageroad/internal/plan"
	"github.com/lovageroad/lovageroad/internal/work"
)

const (
	// keptApart and noRoomApart are the outcomes of placing tasks apart from others.
	keptApart   = "apart"
	noRoomApart = "no room apart"
)

// rankInterference has demands that fill rank workers by how much they would slow down what
// serves there, and demands that serve by how much what fills there would slow them down.
func (c *Core) rankInterference(now time.Time, workers []*worker, demands []rankedDemand) {
	if !c.interference.serves || c.interference.learner.Pairs() == 0 {
		return
	}
	neighbours := make(map[bool]map[*worker][]string)
	for i := range demands {
		d := &demands[i]
		spec := d.step.spec
		if spec.Image == "" || !spec.Opportunistic && !hasObjective(*spec) {
			continue
		}
		others := neighbours[spec.Opportunistic]
		if others == nil {
			others = c.imagesBeside(workers, spec.Opportunistic)
			neighbours[spec.Opportunistic] = others
		}
		for w, images := range others {
			if loss, age := c.lossBeside(now, spec, images); loss > 0 {
				if d.demand.Interference == nil {
					d.demand.Interference, d.evidenceAge = make(map[plan.WorkerID]float64), age
				}
				d.demand.Interference[plan.WorkerID(w.id)] = loss
				d.evidenceAge = min(d.evidenceAge, age)
			}
		}
	}
}

// imagesBeside returns the images of the tasks on each worker that serve, for a demand that
// fills, or else of those that fill.
func (c *Core) imagesBeside(workers []*worker, fills bool) map[*worker][]string {
	images := make(map[*worker][]string)
	for _, w := range workers {
		for _, id := range w.taskIDs() {
			_, s, t := c.find(id)
			if t == nil || t.worker != w || t.stopping || s.spec.Image == "" {
				continue
			}
			if fills && hasObjective(*s.spec) || !fills && s.spec.Opportunistic {
				images[w] = append(images[w], s.spec.Image)
			}
		}
	}
	return images
}

// lossBeside returns the logarithm of the slowdown that a step would cause or suffer beside tasks
// of the given images, as far as it is certain, and the age of the newest evidence.
func (c *Core) lossBeside(now time.Time, spec *work.Step, images []string) (loss float64, age time.Duration) {
	for _, image := range images {
		serving, filling := spec.Image, image
		if spec.Opportunistic {
			serving, filling = image, spec.Image
		}
		b := c.interference.learner.Belief(now, serving, filling)
		if b.Verdict != interference.Slows {
			continue
		}
		if loss == 0 || b.Age < age {
			age = b.Age
		}
		loss += math.Log(b.Slowdown)
	}
	return loss, age
}

// logInterference logs for each step that ranked workers by interference how many of its tasks
// were placed apart, and how many had no room there.
func (c *Core) logInterference(demands []rankedDemand, starts []plan.Start) {
	for i := range demands {
		d := &demands[i]
		if len(d.demand.Interference) == 0 {
			continue
		}
		counts := make(map[string]int)
		worst := make(map[string]float64)
		var worker control.AgentID
		for _, s := range starts {
			if s.Task.StepID != d.step.id {
				continue
			}
			loss := d.demand.Interference[s.Worker]
			outcome := keptApart
			if loss > 0 {
				outcome, worker = noRoomApart, control.AgentID(s.Worker)
			}
			counts[outcome]++
			worst[outcome] = max(worst[outcome], loss)
		}
		for _, outcome := range []string{keptApart, noRoomApart} {
			if counts[outcome] == 0 {
				continue
			}
			entry := LogEntry{
				Event: "tasks kept apart", Job: d.job.Job.ID, Outcome: outcome, Count: counts[outcome],
				Detail: d.step.spec.Image, Age: d.evidenceAge,
			}
			if outcome == noRoomApart {
				entry.Worker, entry.Slowdown = worker, math.Exp(worst[outcome])
			}
			c.log(entry)
		}
	}
}
