package configuration

import (
	"sync"
	"time"

	"github.com/lovageroad/lovageroad/pkg/revision"
	"github.com/lovageroad/lovageroad/pkg/table"
)

// Holder keeps the newest configuration that a process has seen. It is safe for
// use by several goroutines.
type Holder struct {
	mu       sync.Mutex
	register revision.Register[*Configuration]
	row      table.Version
	changed  chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Accept takes a configuration that was read from a row version, by a question
// asked at the given time. It reports whether the configuration is newer than
// the one held.
func (h *Holder) Accept(c *Configuration, row table.Version, asked time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	advanced := h.register.Advance(revision.Number(c.Version), c)
	if row > h.row && c.Version >= h.current().Version {
		h.row = row
	}
	h.register.Confirm(asked, revision.Number(c.Version))
	if advanced {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return advanced
}

// Confirm takes note that at the time asked there was no newer configuration.
func (h *Holder) Confirm(asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register.Confirm(asked, h.register.Number())
}

// Current returns the configuration and the version of its row, or nil before
// the first one.
func (h *Holder) Current() (*Configuration, table.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current(), h.row
}

// Fresh reports whether the configuration held was the newest one at some time
// since the bound before now.
func (h *Holder) Fresh(now time.Time, bound time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.register.Fresh(now, bound)
}

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *Holder) current() *Configuration {
	c, _, _ := h.register.Get()
	return c
}
