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
// returns entry.Moved. The verdict is entry.NotRun if the configuration can't be
// refreshed or has changed at each attempt. The job's queue and account are set
// from the access.
func (g *Gate) Submit(ctx context.Context, access entry.Access, job work.Job, reauthorize func() (entry.Access, bool)) (entry.Verdict, error) {
	for range maxSubmitAttempts {
		job.Queue, job.Account = access.Queue.ID, access.Account
		verdict, err := g.entry.Submit(ctx, access.Queue, access.Row, job)
		if verdict != entry.Moved {
			return verdict, err
		}
		if err := g.Refresh(ctx); err != nil {
			return entry.NotRun, err
		}
		renewed, ok := reauthorize()
		if !ok {
			return entry.Moved, nil
		}
		access = renewed
	}
	return entry.NotRun, nil
}
