// Package configuration holds the configuration that operators set: queues,
// client accounts and limits. Its version never goes back.
package configuration

import (
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// Version orders configurations.
	Version uint64

	// Key is an API key, by which a caller acts for an account.
	Key string

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

		// Timeout bounds the time in which one request is answered.
		Timeout time.Duration

		// Attempts is the number of failed runs of a task, or of all tasks of a gang
		// together, after which its job has failed, 0 for no limit. Long-running
		// tasks are not limited.
		Attempts int

		// Stretch and Slack define a job's latency objective: Stretch times the run
		// time of the longest chain of its steps, plus Slack.
		Stretch float64
		Slack   time.Duration
	}

	// Account is a client account.
	Account struct {
		ID   work.AccountID
		Keys []Key

		// Guaranteed is the number of accelerators that are guaranteed to the
		// account's jobs of priority 0 at all times.
		Guaranteed int64
	}

	// Limits bounds the body and the header of a caller's request, in bytes.
	Limits struct {
		Body   int64
		Header int64
	}

	// Configuration is one version of what operators configure. It must not be
	// changed after New.
	Configuration struct {
		Version  Version
		Queues   []Queue
		Accounts []Account
		Limits   Limits

		queuesByID          map[work.QueueID]*Queue
		accountsByKey       map[Key]work.AccountID
		guaranteedByAccount map[work.AccountID]int64
	}
)

// New returns a Configuration with its look-up tables.
func New(version Version, queues []Queue, accounts []Account, limits Limits) *Configuration {
	c := &Configuration{
		Version: version, Queues: queues, Accounts: accounts, Limits: limits,
		queuesByID:          make(map[work.QueueID]*Queue, len(queues)),
		accountsByKey:       make(map[Key]work.AccountID),
		guaranteedByAccount: make(map[work.AccountID]int64, len(accounts)),
	}
	for i := range queues {
		c.queuesByID[queues[i].ID] = &queues[i]
	}
	for _, a := range accounts {
		c.guaranteedByAccount[a.ID] = a.Guaranteed
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
func (c *Configuration) Owner(key Key) (work.AccountID, bool) {
	account, ok := c.accountsByKey[key]
	return account, ok
}

// Guaranteed returns the number of accelerators that are guaranteed to an
// account.
func (c *Configuration) Guaranteed(account work.AccountID) int64 {
	return c.guaranteedByAccount[account]
}
