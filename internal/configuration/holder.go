package configuration

import (
	"sync"
	"time"

	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// Holder holds the newest configuration that a process has read, and knows when
// it was last known to be current. It is safe for use by several goroutines.
type Holder struct {
	mu         sync.Mutex
	register   revision.Register[*Configuration]
	rowVersion table.Version
	changed    chan struct{}
}

// NewHolder returns a Holder without a configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Accept stores a configuration if it is newer than the one held, and reports
// whether it is. rowVersion is the version of its row, askedAt the time before
// the request that read it. Also a configuration that is not newer confirms the
// one held. One of the same version may come from a newer row, whose version is
// then stored.
func (h *Holder) Accept(c *Configuration, rowVersion table.Version, askedAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	advanced := h.register.Advance(revision.Number(c.Version), c)
	if rowVersion > h.rowVersion && c.Version >= h.currentLocked().Version {
		h.rowVersion = rowVersion
	}
	h.register.Confirm(askedAt, revision.Number(c.Version))
	if advanced {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return advanced
}

// Confirm records that the configuration held was still the newest one at the
// time askedAt, which is the time before the request that showed it.
func (h *Holder) Confirm(askedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register.Confirm(askedAt, h.register.Number())
}

// Current returns the configuration and the version of its row, or nil and 0
// before the first configuration.
func (h *Holder) Current() (*Configuration, table.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentLocked(), h.rowVersion
}

// Fresh reports whether the configuration held was known to be the newest one
// at a time at most maxAge before now.
func (h *Holder) Fresh(now time.Time, maxAge time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.register.Fresh(now, maxAge)
}

// Changed returns a channel that is closed at the next change of the
// configuration.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *Holder) currentLocked() *Configuration {
	c, _, _ := h.register.Get()
	return c
}
