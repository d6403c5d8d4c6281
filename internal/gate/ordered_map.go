package gate

import "iter"

const (
	// compactMargin is the number by which the deleted values must exceed the
	// live ones before an orderedMap compacts.
	compactMargin = 64
)

// orderedMap is a map that iterates in insertion order, without sorting. Values
// may be deleted during an iteration.
type orderedMap[K comparable, V any] struct {
	index      map[K]int
	slots      []slot[K, V]
	iterations int
}

type slot[K comparable, V any] struct {
	key   K
	value V
	live  bool
}

func newOrderedMap[K comparable, V any]() *orderedMap[K, V] {
	return &orderedMap[K, V]{index: make(map[K]int)}
}

// Get returns the value of a key, and whether there is one.
func (m *orderedMap[K, V]) Get(key K) (V, bool) {
	i, ok := m.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	return m.slots[i].value, true
}

// Put adds a value at the end, or replaces the value of its key.
func (m *orderedMap[K, V]) Put(key K, value V) {
	if i, ok := m.index[key]; ok {
		m.slots[i].value = value
		return
	}
	m.index[key] = len(m.slots)
	m.slots = append(m.slots, slot[K, V]{key: key, value: value, live: true})
}

// Delete removes a key.
func (m *orderedMap[K, V]) Delete(key K) {
	i, ok := m.index[key]
	if !ok {
		return
	}
	delete(m.index, key)
	m.slots[i] = slot[K, V]{}
}

// Len returns the number of values.
func (m *orderedMap[K, V]) Len() int {
	return len(m.index)
}

// All iterates over the values that are present when the iteration begins,
// without those deleted during it.
func (m *orderedMap[K, V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		m.compact()
		m.iterations++
		defer func() { m.iterations-- }()
		for i, n := 0, len(m.slots); i < n; i++ {
			if m.slots[i].live && !yield(m.slots[i].value) {
				return
			}
		}
	}
}

// compact removes the slots of deleted values once these exceed the live ones
// by more than compactMargin. It does nothing during an iteration.
func (m *orderedMap[K, V]) compact() {
	if len(m.slots) <= 2*len(m.index)+compactMargin || m.iterations > 0 {
		return
	}
	kept := make([]slot[K, V], 0, len(m.index))
	for _, s := range m.slots {
		if s.live {
			m.index[s.key] = len(kept)
			kept = append(kept, s)
		}
	}
	m.slots = kept
}
