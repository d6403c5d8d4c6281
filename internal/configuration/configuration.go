// Package configuration holds what operators set: queues, pools and client
// accounts, at a version that never goes back.
package configuration

import (
	"strings"
	"time"

	"github.com/lovageroad/lovageroad/internal/work"
)

type (
	// Version orders configurations.
	Version uint64

	// Key is what a caller shows to act for an account.
	Key string

	// Queue takes the jobs of callers and names the pool that runs them.
	Queue struct {
		ID       work.QueueID
		Host     string
		Prefix   string
		Pool     work.PoolID
		Priority work.Priority

		// Public says that callers need no key.
		Public bool

		// Timeout bounds the answer to one request.
		Timeout time.Duration

		// Attempts is how often a task may fail before its job has failed.
		Attempts int

		// Stretch and Slack give a job's latency objective: Stretch times the
		// longest chain of its work, and Slack more.
		Stretch float64
		Slack   time.Duration
	}

	// Account is a client account.
	Account struct {
		ID   work.AccountID
		Keys []Key

		// Guaranteed is how many accelerators belong to the account's jobs of
		// priority 0 at all times.
		Guaranteed int64
	}

	// Limits bound what a gate reads from a caller.
	Limits struct {
		Body   int64
		Header int64
	}

	// Configuration is one version of what operators set.
	Configuration struct {
		Version  Version
		Queues   []Queue
		Accounts []Account
		Limits   Limits

		queues map[work.QueueID]*Queue
		owners map[Key]work.AccountID
		quotas map[work.AccountID]int64
	}
)

// New returns a configuration that answers look-ups.
func New(version Version, queues []Queue, accounts []Account, limits Limits) *Configuration {
	c := &Configuration{
		Version: version, Queues: queues, Accounts: accounts, Limits: limits,
		queues: make(map[work.QueueID]*Queue, len(queues)),
		owners: make(map[Key]work.AccountID),
		quotas: make(map[work.AccountID]int64, len(accounts)),
	}
	for i := range queues {
		c.queues[queues[i].ID] = &queues[i]
	}
	for _, a := range accounts {
		c.quotas[a.ID] = a.Guaranteed
		for _, key := range a.Keys {
			c.owners[key] = a.ID
		}
	}
	return c
}

// Route returns the queue with the longest prefix of the path at the host, or
// nil if there is none.
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

// Queue returns the queue of an id, or nil if there is none.
func (c *Configuration) Queue(id work.QueueID) *Queue {
	return c.queues[id]
}

// Owner returns the account that a key belongs to.
func (c *Configuration) Owner(key Key) (work.AccountID, bool) {
	account, ok := c.owners[key]
	return account, ok
}

// Guaranteed returns the accelerators that belong to an account.
func (c *Configuration) Guaranteed(account work.AccountID) int64 {
	return c.quotas[account]
}
