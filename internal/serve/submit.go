package serve

import (
	"context"

	"github.com/lovageroad/lovageroad/internal/entry"
	"github.com/lovageroad/lovageroad/internal/work"
)

// maxSubmitAttempts bounds how often a submission is tried while the
// configuration keeps changing.
const maxSubmitAttempts = 3

// Submit stores a job for a caller. If the configuration changes meanwhile, it
// refreshes the configuration and calls reauthorize for the caller's new
// access. If that returns false it has already answered the caller, and Submit
// returns entry.ConfigurationChanged. The verdict is entry.NotStored if the
// configuration can't be refreshed or has changed at each attempt, and entry.Refused, with
// an *admission.RefusedError, if the job can't be of value any more. The job's queue and
// account are set from the access.
func (g *Gate) Submit(ctx context.Context, access entry.Access, job work.Job, reauthorize func() (entry.Access, bool)) (entry.Verdict, error) {
	for range maxSubmitAttempts {
		job.Queue, job.Account = access.Queue.ID, access.Account
		if verdict, err := g.admitter.check(ctx, access.Queue, job); verdict != entry.NotStored {
			return verdict, err
		}
		verdict, err := g.entry.Submit(ctx, access.Queue, access.ConfigurationRowVersion, job, g.admitter.waited(job.ID))
		if verdict != entry.ConfigurationChanged {
			return verdict, err
		}
		if err := g.Refresh(ctx); err != nil {
			return entry.NotStored, err
		}
		renewed, ok := reauthorize()
		if !ok {
			return entry.ConfigurationChanged, nil
		}
		access = renewed
	}
	return entry.NotStored, nil
}
