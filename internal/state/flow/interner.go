package flow

import (
	"sync"

	"github.com/currantturn/currantturn"
)

// Ref is a backend server's number within one process; 0 is none.
type Ref uint32

// Interner numbers backend servers, so that records hold no strings.
type Interner struct {
	mu   sync.RWMutex
	refs map[currantturn.BackendID]Ref
	ids  []currantturn.BackendID
}

// NewInterner returns an interner that knows only the empty ID.
func NewInterner() *Interner {
	return &Interner{
		refs: map[currantturn.BackendID]Ref{"": 0},
		ids:  []currantturn.BackendID{""},
	}
}

// Ref returns the number of an ID, giving it one if needed; only IDs of the
// configuration may be passed, which bounds the numbers.
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

// ID returns the backend server of a number.
func (n *Interner) ID(r Ref) currantturn.BackendID {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.ids[r]
}
