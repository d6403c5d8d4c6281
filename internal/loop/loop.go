// Package loop runs a state machine in a process: it passes events to the
// machine one at a time, and carries out the effects that the machine returns:
// messages, operations of the platform's table service and object store, and timers.
package loop

import (
	"context"
	"errors"
	"time"

	"github.com/lovageroad/lovageroad/pkg/machine"
	"github.com/lovageroad/lovageroad/pkg/table"
)

const (
	// DefaultStoreTimeout bounds one operation of the table service or object store.
	DefaultStoreTimeout = 3 * time.Second

	// MaxEvents is the capacity of the queue of events for the machine.
	MaxEvents = 1 << 14
)

type (
	// Config holds the services and functions that carry out a machine's effects.
	// See the options for the functions.
	Config struct {
		Self         machine.Node
		Table        table.Table
		Objects      table.Objects
		Send         func(to machine.Node, body any)
		Handle       func(effect machine.Effect)
		Observe      func(operation, outcome string, elapsed time.Duration)
		StoreTimeout time.Duration
	}

	// Option sets a field of a Config.
	Option func(*Config)

	// Loop runs one machine. Post passes events to it from any goroutine.
	Loop struct {
		config  Config
		machine machine.Machine
		events  chan machine.Event

		// wakeAt is the time of the next scheduled tick, zero if there is none.
		wakeAt time.Time
		timer  *time.Timer
		ctx    context.Context
	}
)

// WithStore sets the table service and the object store.
func WithStore(t table.Table, objects table.Objects) Option {
	return func(c *Config) { c.Table, c.Objects = t, objects }
}

// WithSend sets the function that sends a message to another process. It must
// not block.
func WithSend(send func(to machine.Node, body any)) Option {
	return func(c *Config) { c.Send = send }
}

// WithHandle sets the function that carries out the effects that package
// machine does not define. It must not block.
func WithHandle(handle func(effect machine.Effect)) Option {
	return func(c *Config) { c.Handle = handle }
}

// WithObserve sets a function that is called after each operation of the table
// service or object store, for metrics.
func WithObserve(observe func(operation, outcome string, elapsed time.Duration)) Option {
	return func(c *Config) { c.Observe = observe }
}

// WithStoreTimeout sets the time-out of one operation of the table service or
// object store.
func WithStoreTimeout(timeout time.Duration) Option {
	return func(c *Config) { c.StoreTimeout = timeout }
}

// New returns a loop for the machine of the process self.
func New(self machine.Node, m machine.Machine, options ...Option) *Loop {
	config := Config{
		Self:         self,
		Send:         func(machine.Node, any) {},
		Handle:       func(machine.Effect) {},
		Observe:      func(string, string, time.Duration) {},
		StoreTimeout: DefaultStoreTimeout,
	}
	for _, option := range options {
		option(&config)
	}
	return &Loop{config: config, machine: m, events: make(chan machine.Event, MaxEvents)}
}

// Post queues an event for the machine. It blocks while the queue is full and
// returns false if the context ends first.
func (l *Loop) Post(ctx context.Context, event machine.Event) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run passes events to the machine until the context ends. A first tick is due
// at once.
func (l *Loop) Run(ctx context.Context) {
	l.ctx = ctx
	l.timer = time.NewTimer(0)
	defer l.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.step(event)
		case <-l.timer.C:
			l.wakeAt = time.Time{}
			l.step(machine.Tick{})
		}
	}
}

// step passes an event to the machine, and then, before any other event, the
// messages that the machine thereby sends to itself.
func (l *Loop) step(event machine.Event) {
	pending := []machine.Event{event}
	for len(pending) > 0 {
		effects := l.machine.Step(time.Now(), pending[0])
		pending = pending[1:]
		for _, effect := range effects {
			if local, ok := l.execute(effect); ok {
				pending = append(pending, local)
			}
		}
	}
}

// execute carries out an effect. A message from the process to itself is
// returned as an event.
func (l *Loop) execute(effect machine.Effect) (machine.Event, bool) {
	switch e := effect.(type) {
	case machine.Send:
		if e.To == l.config.Self {
			return machine.Message{From: e.To, Body: e.Body}, true
		}
		l.config.Send(e.To, e.Body)
	case machine.Wake:
		l.schedule(e.At)
	case machine.Commit, machine.Read, machine.Scan, machine.Put, machine.Get:
		go l.runStoreOperation(effect)
	default:
		l.config.Handle(effect)
	}
	return nil, false
}

// schedule makes the machine tick at the given time, unless an earlier tick is
// scheduled.
func (l *Loop) schedule(at time.Time) {
	if !l.wakeAt.IsZero() && !at.Before(l.wakeAt) {
		return
	}
	l.wakeAt = at
	l.timer.Reset(time.Until(at))
}

// runStoreOperation carries out an operation of the table service or object store
// and posts its result as an event.
func (l *Loop) runStoreOperation(effect machine.Effect) {
	ctx, cancel := context.WithTimeout(l.ctx, l.config.StoreTimeout)
	defer cancel()
	startedAt := time.Now()
	result := Execute(ctx, l.config.Table, l.config.Objects, effect)
	l.config.Observe(operationOf(effect), outcomeOf(result.Err), time.Since(startedAt))
	l.Post(l.ctx, result)
}

// Execute carries out an operation of the table service or object store and returns
// its result. The zero result is returned for other effects.
func Execute(ctx context.Context, t table.Table, objects table.Objects, effect machine.Effect) machine.StoreResult {
	var result machine.StoreResult
	switch e := effect.(type) {
	case machine.Commit:
		result.ID = e.ID
		var version table.Version
		version, result.Err = t.Commit(ctx, e.Txn)
		result.Rows = writtenRows(e.Txn, version)
	case machine.Read:
		result.ID = e.ID
		result.Rows, result.Err = t.Read(ctx, e.Keys)
	case machine.Scan:
		result.ID = e.ID
		result.Rows, result.Err = t.Scan(ctx, e.Prefix, e.After, e.Limit)
	case machine.Put:
		result.ID = e.ID
		result.Err = objects.Put(ctx, e.Name, e.Data)
	case machine.Get:
		result.ID = e.ID
		result.Data, result.Err = objects.Get(ctx, e.Name)
	}
	return result
}

// writtenRows returns the rows that a transaction wrote or deleted, at their new version.
// They mean nothing if the commit failed.
func writtenRows(txn table.Txn, version table.Version) []table.Row {
	rows := make([]table.Row, 0, len(txn.Writes))
	for _, write := range txn.Writes {
		rows = append(rows, table.Row{Key: write.Key, Version: version, Value: write.Value})
	}
	return rows
}

func operationOf(effect machine.Effect) string {
	switch effect.(type) {
	case machine.Commit:
		return "commit"
	case machine.Read:
		return "read"
	case machine.Scan:
		return "scan"
	case machine.Put:
		return "put"
	default:
		return "get"
	}
}

func outcomeOf(err error) string {
	var (
		conflict *table.ConflictError
		rejected *table.RejectedError
		missing  *table.NotFoundError
	)
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &rejected):
		return "rejected"
	case errors.As(err, &missing):
		return "missing"
	default:
		return "uncertain"
	}
}
