package serve

import (
	"context"

	"github.com/lovageroad/lovageroad/internal/entry"
	"github.com/lovageroad/lovageroad/internal/work"
)

// configurationTries bounds how often a submission follows changes of the
// configuration.
const configurationTries = 3

// Submit stores a job for a caller. If the configuration changes meanwhile, the
// access is looked up again by reopen, which answers the caller if there is
// none: the verdict is then entry.Moved.
func (g *Gate) Submit(ctx context.Context, access entry.Access, job work.Job, reopen func() (entry.Access, bool)) (entry.Verdict, error) {
	for range configurationTries {
		job.Queue, job.Account = access.Queue.ID, access.Account
		verdict, err := g.entry.Submit(ctx, access.Queue, access.Row, job)
		if verdict != entry.Moved {
			return verdict, err
		}
		if err := g.Refresh(ctx); err != nil {
			return entry.NotRun, err
		}
		again, ok := reopen()
		if !ok {
			return entry.Moved, nil
		}
		access = again
	}
	return entry.NotRun, nil
}
