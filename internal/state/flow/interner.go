package flow

import (
	"sync"

	"github.com/currantturn/currantturn"
)

// Ref identifies a backend server within one process; 0 stands for none.
type Ref uint32

// Interner maps backend server IDs to numbers, so that records contain no
// strings. It is safe for concurrent use.
type Interner struct {
	mu   sync.RWMutex
	refs map[currantturn.BackendID]Ref
	ids  []currantturn.BackendID
}

// NewInterner returns an interner that contains only the empty ID, as 0.
func NewInterner() *Interner {
	return &Interner{
		refs: map[currantturn.BackendID]Ref{"": 0},
		ids:  []currantturn.BackendID{""},
	}
}

// Ref returns the number of an ID and assigns one if needed. Numbers are never
// released, so callers must pass only IDs from the configuration.
func (n *Interner) Ref(id currantturn.BackendID) Ref {
	n.mu.RLock()
	r, ok := n.refs[id]
	n.mu.RUnlock()
	if ok {
		return r
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok = n.refs[id]; ok {
		return r
	}
	r = Ref(len(n.ids))
	n.ids = append(n.ids, id)
	n.refs[id] = r
	return r
}

// ID returns the backend server ID that r was assigned to.
func (n *Interner) ID(r Ref) currantturn.BackendID {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.ids[r]
}
