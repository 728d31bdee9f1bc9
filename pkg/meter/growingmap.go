package meter

import (
	"maps"
	"sync"
	"sync/atomic"
)

// growingMap is a concurrent map that is read far more often than it grows: reads
// take no lock, and adding a key copies the map. The zero value is empty.
type growingMap[K comparable, V any] struct {
	mu      sync.Mutex
	current atomic.Pointer[map[K]V]
}

// get returns the value of k, which it adds with create if k is new. It returns
// false if k is new and the map already has limit keys.
func (g *growingMap[K, V]) get(k K, limit int, create func() V) (V, bool) {
	if m := g.current.Load(); m != nil {
		if v, ok := (*m)[k]; ok {
			return v, true
		}
	}
	return g.grow(k, limit, create)
}

func (g *growingMap[K, V]) grow(k K, limit int, create func() V) (V, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.all()
	if v, ok := old[k]; ok {
		return v, true
	}
	if len(old) >= limit {
		var none V
		return none, false
	}
	grown := make(map[K]V, len(old)+1)
	maps.Copy(grown, old)
	v := create()
	grown[k] = v
	g.current.Store(&grown)
	return v, true
}

// all returns the current map, which must not be modified.
func (g *growingMap[K, V]) all() map[K]V {
	m := g.current.Load()
	if m == nil {
		return nil
	}
	return *m
}
