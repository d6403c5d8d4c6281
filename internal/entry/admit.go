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
	// NoConfiguration says that the gate has no configuration that it can rely
	// on.
	NoConfiguration Denial = iota

	// NoQueue says that no queue serves the path.
	NoQueue

	// NoKey says that the key belongs to no account.
	NoKey
)

// freshBound is the age of a configuration that is applied without a look at
// the table: twice what the feed takes to confirm it.
const freshBound = 2 * time.Second

// refreshTimeout bounds that look.
const refreshTimeout = 700 * time.Millisecond

type (
	// Denial is the reason why a request is turned away.
	Denial int

	// DeniedError says that a request is turned away before it is looked at.
	DeniedError struct {
		Reason Denial

		// Cause is why the configuration could not be read, if it is that.
		Cause error
	}

	// Refresher reads the configuration anew.
	Refresher interface {
		Refresh(ctx context.Context) error
	}

	// Access is what a caller may use.
	Access struct {
		Queue   *configuration.Queue
		Account work.AccountID
		Limits  configuration.Limits

		// Row is the version of the configuration's row.
		Row table.Version

		// Rest is the path without the queue's prefix.
		Rest string
	}
)

func (e *DeniedError) Error() string {
	switch e.Reason {
	case NoQueue:
		return "no such queue"
	case NoKey:
		return "unknown key"
	case NoConfiguration:
		if e.Cause != nil {
			return "configuration out of date: " + e.Cause.Error()
		}
	}
	return "no configuration yet"
}

// Unwrap returns the cause.
func (e *DeniedError) Unwrap() error { return e.Cause }

// Open finds the queue and the account of a request by the configuration in
// force. It returns a DeniedError if there is none.
func (e *Entry) Open(ctx context.Context, r Refresher, host, path string, key configuration.Key) (Access, error) {
	if !e.holder.Fresh(boottime.Now(), freshBound) {
		limit, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := r.Refresh(limit)
		cancel()
		if err != nil {
			return Access{}, &DeniedError{Reason: NoConfiguration, Cause: err}
		}
	}
	c, row := e.holder.Current()
	if c == nil {
		return Access{}, &DeniedError{Reason: NoConfiguration}
	}
	queue := c.Route(host, path)
	if queue == nil {
		return Access{}, &DeniedError{Reason: NoQueue}
	}
	account, ok := c.Owner(key)
	if !ok && !queue.Public {
		return Access{}, &DeniedError{Reason: NoKey}
	}
	return Access{Queue: queue, Account: account, Limits: c.Limits, Row: row, Rest: strings.TrimPrefix(path, queue.Prefix)}, nil
}
