package scheduler

import (
	"github.com/lovageroad/lovageroad/internal/account"
	"github.com/lovageroad/lovageroad/internal/floor"
	"github.com/lovageroad/lovageroad/internal/job"
)

// BoundGuarantee is a guaranteed shape and the capacity bound to it. A share
// without a worker is at risk.
type BoundGuarantee struct {
	Account   account.Name
	Shape     floor.Shape
	Placement floor.Placement
	Jobs      []job.ID
}

// BoundGuarantees returns the guarantees of a policy and what they are bound to.
func BoundGuarantees(p Policy) []BoundGuarantee {
	var list []BoundGuarantee
	for _, g := range p.(*policy).guarantees {
		b := BoundGuarantee{Account: g.tenant.name, Shape: g.shape}
		for _, s := range g.segments {
			share := floor.Allocation{Accelerators: s.share.mask, Cores: s.share.amount.cores, Memory: s.share.amount.memory}
			if s.share.worker != nil {
				share.Worker = s.share.worker.ID
			}
			b.Placement = append(b.Placement, share)
		}
		for _, t := range g.jobs {
			b.Jobs = append(b.Jobs, t.ID)
		}
		list = append(list, b)
	}
	return list
}
