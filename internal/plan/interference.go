package plan

// rankInterference ranks the workers by what tasks there that serve would lose by the demand, or
// the demand by what fills there. It answers a load that leaves a choice of workers: no worker is
// left out for it.
func (p *planner) rankInterference(d *Demand) {
	p.interferes = len(d.Interference) > 0
	if !p.interferes {
		return
	}
	for _, w := range p.workerStates {
		w.interference = d.Interference[w.ID]
	}
}
