// Package configuration holds the configuration that operators set: queues,
// client accounts and limits. A process never goes back to an older version.
package configuration

import (
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// Version orders configurations.
	Version uint64

	// APIKey is an API key, by which a caller acts for an account.
	APIKey string

	// Queue accepts the jobs that callers submit at a host and path prefix, and
	// names the pool that runs them.
	Queue struct {
		ID       work.QueueID
		Host     string
		Prefix   string
		Pool     work.PoolID
		Priority work.Priority

		// Public means that callers need no API key.
		Public bool

		// Timeout is the time within which a request should be answered. It is not
		// enforced.
		Timeout time.Duration

		// MaxFailures is the number of failed runs of a task, or of all tasks of a gang
		// together, after which its job has failed, 0 for no limit. Long-running
		// tasks are not limited.
		MaxFailures int

		// ObjectiveFactor and ObjectiveAllowance define a job's latency objective:
		// ObjectiveFactor times the run time of the longest chain of its steps, plus
		// ObjectiveAllowance.
		ObjectiveFactor    float64
		ObjectiveAllowance time.Duration
	}

	// Account is a client account.
	Account struct {
		ID   work.AccountID
		Keys []APIKey

		// GuaranteedAccelerators is the number of accelerators that are guaranteed to the
		// account's jobs of priority 0 at all times.
		GuaranteedAccelerators int64
	}

	// Limits bounds the body and the header of a caller's request, in bytes. The
	// limit of the header is not enforced.
	Limits struct {
		MaxBodyBytes   int64
		MaxHeaderBytes int64
	}

	// Configuration is one version of what operators configure. It must not be
	// changed after New.
	Configuration struct {
		Version  Version
		Queues   []Queue
		Accounts []Account
		Limits   Limits

		queuesByID          map[work.QueueID]*Queue
		accountsByKey       map[APIKey]work.AccountID
		guaranteedByAccount map[work.AccountID]int64
	}
)

// New returns a Configuration with its look-up tables.
func New(version Version, queues []Queue, accounts []Account, limits Limits) *Configuration {
	c := &Configuration{
		Version: version, Queues: queues, Accounts: accounts, Limits: limits,
		queuesByID:          make(map[work.QueueID]*Queue, len(queues)),
		accountsByKey:       make(map[APIKey]work.AccountID),
		guaranteedByAccount: make(map[work.AccountID]int64, len(accounts)),
	}
	for i := range queues {
		c.queuesByID[queues[i].ID] = &queues[i]
	}
	for _, a := range accounts {
		c.guaranteedByAccount[a.ID] = a.GuaranteedAccelerators
		for _, key := range a.Keys {
			c.accountsByKey[key] = a.ID
		}
	}
	return c
}

// Route returns the queue of the host whose prefix is the longest one that the
// path begins with, or nil if there is none.
func (c *Configuration) Route(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with the given ID, or nil if there is none.
func (c *Configuration) Queue(id work.QueueID) *Queue {
	return c.queuesByID[id]
}

// Owner returns the account that an API key belongs to, and false if there is
// none.
func (c *Configuration) Owner(key APIKey) (work.AccountID, bool) {
	account, ok := c.accountsByKey[key]
	return account, ok
}

// GuaranteedAccelerators returns the number of accelerators that are guaranteed to an
// account.
func (c *Configuration) GuaranteedAccelerators(account work.AccountID) int64 {
	return c.guaranteedByAccount[account]
}
