package loop

import (
	"context"
	"sync"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

// Exchange matches replies of a machine to the requests that wait for them. K
// is the type of request IDs, R the type of replies. It is safe for use by
// several goroutines.
type Exchange[K ~uint64, R any] struct {
	post    func(ctx context.Context, event machine.Event) bool
	mu      sync.Mutex
	lastID  K
	waiting map[K]chan R
}

// NewExchange returns an Exchange that passes requests to a machine with the
// function post, such as Loop.Post.
func NewExchange[K ~uint64, R any](post func(ctx context.Context, event machine.Event) bool) *Exchange[K, R] {
	return &Exchange[K, R]{post: post, waiting: make(map[K]chan R)}
}

// Ask passes a request to the machine and waits for its reply. request makes the
// request's event from a new ID. If the context ends first, Ask returns false.
// If the request was queued by then and abandon is not nil, the event that
// abandon makes from the ID is passed to the machine.
func (x *Exchange[K, R]) Ask(ctx context.Context, request, abandon func(K) machine.Event) (R, bool) {
	id, replies := x.register()
	defer x.remove(id)
	var zero R
	if !x.post(ctx, request(id)) {
		return zero, false
	}
	select {
	case reply := <-replies:
		return reply, true
	case <-ctx.Done():
		if abandon != nil {
			x.post(context.WithoutCancel(ctx), abandon(id))
		}
		return zero, false
	}
}

// Answer delivers a reply to the request with the given ID. A reply to an
// unknown request is dropped.
func (x *Exchange[K, R]) Answer(id K, reply R) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if ch, ok := x.waiting[id]; ok {
		delete(x.waiting, id)
		ch <- reply
	}
}

func (x *Exchange[K, R]) register() (K, chan R) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastID++
	replies := make(chan R, 1)
	x.waiting[x.lastID] = replies
	return x.lastID, replies
}

func (x *Exchange[K, R]) remove(id K) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.waiting, id)
}
