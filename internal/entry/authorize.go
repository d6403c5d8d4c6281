package entry

import (
	"context"
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/configuration"
	"github.com/lovageroad/lovageroad/internal/work"
	"github.com/lovageroad/lovageroad/pkg/boottime"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// NoConfiguration means that the gate has no configuration, or only a stale
	// one that it could not refresh.
	NoConfiguration Denial = iota

	// NoQueue means that no queue serves the request's host and path.
	NoQueue

	// UnknownKey means that the request's API key belongs to no account.
	UnknownKey
)

// maxConfigurationAge is the age up to which a configuration is applied without
// reading it from the table again: twice the time in which the change feed
// confirms it.
const maxConfigurationAge = 2 * time.Second

// refreshTimeout bounds the read of a configuration that is older than
// maxConfigurationAge.
const refreshTimeout = 700 * time.Millisecond

// maxRefreshes is the largest number of reads of the configuration for one request.
const maxRefreshes = 2

type (
	// Denial is the reason why a request is denied.
	Denial int

	// DeniedError is returned for a request that is denied before its content is
	// read.
	DeniedError struct {
		Reason Denial

		// Cause is the error of reading the configuration, or nil. It is set only
		// with NoConfiguration.
		Cause error
	}

	// Refresher reads the configuration from the table.
	Refresher interface {
		Refresh(ctx context.Context) error
	}

	// Access is what a request may use: the queue that serves it, and the account
	// that it acts for.
	Access struct {
		Queue *configuration.Queue

		// Account is empty if the queue is public and the API key belongs to no
		// account.
		Account work.AccountID
		Limits  configuration.Limits

		// ConfigurationRowVersion is the version of the configuration's row by which
		// access was granted.
		ConfigurationRowVersion table.Version

		// Subpath is the request's path without the queue's prefix.
		Subpath string
	}
)

func (e *DeniedError) Error() string {
	switch e.Reason {
	case NoQueue:
		return "no such queue"
	case UnknownKey:
		return "unknown key"
	case NoConfiguration:
		if e.Cause != nil {
			return "configuration out of date: " + e.Cause.Error()
		}
	}
	return "no configuration yet"
}

// Unwrap returns Cause.
func (e *DeniedError) Unwrap() error { return e.Cause }

// Authorize finds the queue and the account of a request in the current
// configuration. If the configuration is stale it is refreshed first. It
// returns a DeniedError if the request has no access.
func (e *Entry) Authorize(ctx context.Context, r Refresher, host, path string, key configuration.APIKey) (Access, error) {
	// A shared read may have begun before this VM was suspended, and then says too little.
	for reads := 0; reads < maxRefreshes && !e.holder.Fresh(boottime.Now(), maxConfigurationAge); reads++ {
		if err := e.refresh(ctx, r); err != nil {
			return Access{}, &DeniedError{Reason: NoConfiguration, Cause: err}
		}
	}
	c, rowVersion := e.holder.Current()
	if c == nil {
		return Access{}, &DeniedError{Reason: NoConfiguration}
	}
	queue := c.Route(host, path)
	if queue == nil {
		return Access{}, &DeniedError{Reason: NoQueue}
	}
	account, ok := c.Owner(key)
	if !ok && !queue.Public {
		return Access{}, &DeniedError{Reason: UnknownKey}
	}
	return Access{Queue: queue, Account: account, Limits: c.Limits, ConfigurationRowVersion: rowVersion, Subpath: strings.TrimPrefix(path, queue.Prefix)}, nil
}

// refresh reads the configuration. Requests that come meanwhile share the read, so that a
// crowd of them causes no crowd of calls.
func (e *Entry) refresh(ctx context.Context, r Refresher) error {
	done := e.refreshes.DoChan("", func() (any, error) {
		refreshCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTimeout)
		defer cancel()
		return nil, r.Refresh(refreshCtx)
	})
	select {
	case result := <-done:
		return result.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}
