package statesync_test

import (
	"maps"
	"slices"

	"github.com/currantturn/currantturn"
)

// history is a store that keeps its changes and can return from a copy of itself.
type history struct {
	currantturn.Position
	routing *currantturn.Routing
	servers map[currantturn.BackendID]currantturn.Registration
	drained map[currantturn.FailureDomain]bool
	changes []change
	oldest  uint64 // revision after which all changes are kept
	away    bool   // reads and writes fail
}

// change is one change of a history.
type change struct {
	revision uint64
	item     currantturn.Item
}

func newHistory() *history {
	return &history{
		Position: currantturn.Position{Era: 1, Revision: 10},
		servers:  map[currantturn.BackendID]currantturn.Registration{}, oldest: 10,
		drained: map[currantturn.FailureDomain]bool{},
	}
}

func (h *history) append(i currantturn.Item) {
	h.Revision++
	h.changes = append(h.changes, change{h.Revision, i})
}

// configure publishes a version, as a new one or again.
func (h *history) configure(v currantturn.Version) {
	h.routing = &currantturn.Routing{Version: v}
	h.append(currantturn.Item{Routing: h.routing})
}

// register writes a registration; the store reports the change of its sequence alone to
// nobody.
func (h *history) register(r currantturn.Registration) {
	old, found := h.servers[r.ID]
	r.CreatedRevision = h.Revision + 1
	if found {
		r.CreatedRevision = old.CreatedRevision
	}
	h.servers[r.ID] = r
	old.Sequence = r.Sequence
	if !found || old != r {
		h.append(currantturn.Item{Registration: &r})
	}
}

func (h *history) remove(id currantturn.BackendID) {
	if _, found := h.servers[id]; found {
		delete(h.servers, id)
		h.append(currantturn.Item{Removed: id})
	}
}

// drain writes the order to drain a failure domain.
func (h *history) drain(name currantturn.FailureDomain) {
	h.drained[name] = true
	h.append(currantturn.Item{Drain: &currantturn.DrainOrder{FailureDomain: name}})
}

// undrain takes the order back.
func (h *history) undrain(name currantturn.FailureDomain) {
	if h.drained[name] {
		delete(h.drained, name)
		h.append(currantturn.Item{Drain: &currantturn.DrainOrder{FailureDomain: name, Revoked: true}})
	}
}

// copied returns a copy of the present content.
func (h *history) copied() *history {
	c := *h
	c.servers, c.changes, c.drained = maps.Clone(h.servers), slices.Clone(h.changes), maps.Clone(h.drained)
	return &c
}

// restore replaces the content by that of a copy and begins a new era.
func (h *history) restore(c *history) {
	era := h.Era + 1
	*h = *c.copied()
	h.Era = era
}

// compact drops the changes so far.
func (h *history) compact() {
	h.changes, h.oldest = nil, h.Revision
}

func (h *history) listRouting() currantturn.Listing {
	l := currantturn.Listing{Position: h.Position}
	if h.routing != nil {
		l.Items = []currantturn.Item{{Routing: h.routing}}
	}
	for _, name := range slices.Sorted(maps.Keys(h.drained)) {
		l.Items = append(l.Items, currantturn.Item{Drain: &currantturn.DrainOrder{FailureDomain: name}})
	}
	return l
}

func (h *history) listServers() currantturn.Listing {
	l := currantturn.Listing{Position: h.Position}
	for _, id := range slices.Sorted(maps.Keys(h.servers)) {
		r := h.servers[id]
		l.Items = append(l.Items, currantturn.Item{Registration: &r})
	}
	return l
}

// watch returns the changes after a revision.
func (h *history) watch(after uint64) (currantturn.Listing, error) {
	if after < h.oldest || after > h.Revision {
		return currantturn.Listing{Position: currantturn.Position{Era: h.Era}}, currantturn.ErrCompacted
	}
	l := currantturn.Listing{Position: h.Position}
	for _, c := range h.changes {
		if c.revision > after {
			l.Items = append(l.Items, c.item)
		}
	}
	return l, nil
}
