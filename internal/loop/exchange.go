package loop

import (
	"context"
	"sync"

	"github.com/lovageroad/lovageroad/pkg/machine"
)

// Exchange pairs requests to a machine with its replies. K is the identity of a
// request, R the reply.
type Exchange[K ~uint64, R any] struct {
	post    func(ctx context.Context, event machine.Event) bool
	mu      sync.Mutex
	last    K
	waiting map[K]chan R
}

// NewExchange returns an exchange that hands requests to a machine by post.
func NewExchange[K ~uint64, R any](post func(ctx context.Context, event machine.Event) bool) *Exchange[K, R] {
	return &Exchange[K, R]{post: post, waiting: make(map[K]chan R)}
}

// Ask hands a request to the machine and waits for its reply. It returns false
// if the context ends first; then the event that abandon makes is handed over,
// if abandon is not nil.
func (x *Exchange[K, R]) Ask(ctx context.Context, request, abandon func(K) machine.Event) (R, bool) {
	id, reply := x.add()
	defer x.forget(id)
	var none R
	if !x.post(ctx, request(id)) {
		return none, false
	}
	select {
	case answer := <-reply:
		return answer, true
	case <-ctx.Done():
		if abandon != nil {
			x.post(context.WithoutCancel(ctx), abandon(id))
		}
		return none, false
	}
}

// Answer passes a reply to the request that waits for it. A reply that nothing
// waits for is dropped.
func (x *Exchange[K, R]) Answer(id K, reply R) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if waiting, ok := x.waiting[id]; ok {
		delete(x.waiting, id)
		waiting <- reply
	}
}

func (x *Exchange[K, R]) add() (K, chan R) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.last++
	reply := make(chan R, 1)
	x.waiting[x.last] = reply
	return x.last, reply
}

func (x *Exchange[K, R]) forget(id K) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.waiting, id)
}
