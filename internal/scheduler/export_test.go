package scheduler

import (
	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

// Bound is a guaranteed shape and where it stands. A share without a worker is
// at risk.
type Bound struct {
	Account   account.Name
	Shape     floor.Shape
	Placement floor.Placement
	Jobs      []job.ID
}

// BoundOf returns where the guarantees of a policy stand.
func BoundOf(p Policy) []Bound {
	var list []Bound
	for _, c := range p.(*policy).cells {
		b := Bound{Account: c.tenant.name, Shape: c.shape}
		for _, s := range c.seats {
			share := floor.Share{Accelerators: s.share.mask, Cores: s.share.amount.cores, Memory: s.share.amount.memory}
			if s.share.worker != nil {
				share.Worker = s.share.worker.ID
			}
			b.Placement = append(b.Placement, share)
		}
		for _, t := range c.tasks {
			b.Jobs = append(b.Jobs, t.ID)
		}
		list = append(list, b)
	}
	return list
}
