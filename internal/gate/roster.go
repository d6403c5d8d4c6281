package gate

import "iter"

const (
	// minSlots is the number of slots of deleted values that a roster keeps in
	// any case.
	minSlots = 64
)

// roster holds values by key and lists them in the order in which they were
// added, without sorting.
type roster[K comparable, V any] struct {
	index  map[K]int
	slots  []slot[K, V]
	visits int
}

type slot[K comparable, V any] struct {
	key   K
	value V
	live  bool
}

func newRoster[K comparable, V any]() *roster[K, V] {
	return &roster[K, V]{index: make(map[K]int)}
}

// Get returns the value of a key, and whether there is one.
func (r *roster[K, V]) Get(key K) (V, bool) {
	i, ok := r.index[key]
	if !ok {
		var none V
		return none, false
	}
	return r.slots[i].value, true
}

// Put adds a value at the end, or replaces the value of its key.
func (r *roster[K, V]) Put(key K, value V) {
	if i, ok := r.index[key]; ok {
		r.slots[i].value = value
		return
	}
	r.index[key] = len(r.slots)
	r.slots = append(r.slots, slot[K, V]{key: key, value: value, live: true})
}

// Delete removes a key.
func (r *roster[K, V]) Delete(key K) {
	i, ok := r.index[key]
	if !ok {
		return
	}
	delete(r.index, key)
	r.slots[i] = slot[K, V]{}
}

// Len returns the number of values.
func (r *roster[K, V]) Len() int {
	return len(r.index)
}

// All returns the values that are there when the iteration begins, but for those
// deleted meanwhile.
func (r *roster[K, V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		r.compact()
		r.visits++
		defer func() { r.visits-- }()
		for i, n := 0, len(r.slots); i < n; i++ {
			if r.slots[i].live && !yield(r.slots[i].value) {
				return
			}
		}
	}
}

// compact drops the slots of deleted values once they are the greater part. It
// is not called while values are visited.
func (r *roster[K, V]) compact() {
	if len(r.slots) <= 2*len(r.index)+minSlots || r.visits > 0 {
		return
	}
	kept := make([]slot[K, V], 0, len(r.index))
	for _, s := range r.slots {
		if s.live {
			r.index[s.key] = len(kept)
			kept = append(kept, s)
		}
	}
	r.slots = kept
}
