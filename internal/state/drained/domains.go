package drained

import (
	"slices"
	"strings"
	"time"

	"github.com/currantturn/currantturn"
)

// Entry is a drained failure domain.
type Entry struct {
	FailureDomain currantturn.FailureDomain `cbor:"1,keyasint"`
	// LapsesIn is how long after the entry was read the failure domain counts as taken
	// back, unless its order returns; 0 if the store has the order.
	LapsesIn time.Duration `cbor:"2,keyasint,omitempty"`
}

// Domains is the set of drained failure domains. It is not safe for concurrent use.
type Domains struct {
	// until contains the failure domains, with the time until which a missing order may
	// return; zero if the store has it.
	until map[currantturn.FailureDomain]time.Time
}

// New returns an empty set.
func New() *Domains {
	return &Domains{until: make(map[currantturn.FailureDomain]time.Time)}
}

// Apply applies an order or its revocation.
func (d *Domains) Apply(o currantturn.DrainOrder) {
	if o.Revoked {
		delete(d.until, o.FailureDomain)
	} else {
		d.until[o.FailureDomain] = time.Time{}
	}
}

// Replace applies a complete listing. Before keepUntil, a failure domain without an order
// in it stays until then: a store that returned from a copy may have lost the order.
func (d *Domains) Replace(now time.Time, listed []Entry, keepUntil time.Time) {
	missing := make(map[currantturn.FailureDomain]bool, len(d.until))
	for name := range d.until {
		missing[name] = true
	}
	for _, e := range listed {
		delete(missing, e.FailureDomain)
		d.until[e.FailureDomain] = deadline(now, e)
	}
	for name := range missing {
		switch {
		case !now.Before(keepUntil):
			delete(d.until, name)
		case d.until[name].IsZero():
			d.until[name] = keepUntil
		}
	}
}

// Learn adds the entries of an earlier set that are missing in this one. Since the store
// does not have their orders, they stay until a time, unless these return.
func (d *Domains) Learn(now time.Time, earlier []Entry, until time.Time) {
	for _, e := range earlier {
		if _, found := d.until[e.FailureDomain]; found {
			continue
		}
		d.until[e.FailureDomain] = until
		if e.LapsesIn > 0 {
			d.until[e.FailureDomain] = deadline(now, e)
		}
	}
}

// deadline returns the time until which the missing order of an entry may return.
func deadline(now time.Time, e Entry) time.Time {
	if e.LapsesIn > 0 {
		return now.Add(e.LapsesIn)
	}
	return time.Time{}
}

// Expire removes the failure domains whose orders have not returned in time, and reports
// whether there are any. An order can return only while the store is available, so the
// store must have confirmed the set shortly before; confirmedAt is the last time.
func (d *Domains) Expire(now, confirmedAt time.Time) (changed bool) {
	for name, until := range d.until {
		if !until.IsZero() && !now.Before(until) && !confirmedAt.Before(until.Add(-maxConfirmationAge)) {
			delete(d.until, name)
			changed = true
		}
	}
	return changed
}

// Postpone gives missing orders time until a later time to return.
func (d *Domains) Postpone(until time.Time) {
	for name, old := range d.until {
		if !old.IsZero() {
			d.until[name] = until
		}
	}
}

// Entries returns the failure domains, sorted by name; nil if there are none.
func (d *Domains) Entries(now time.Time) []Entry {
	var all []Entry
	for name, until := range d.until {
		e := Entry{FailureDomain: name}
		if !until.IsZero() {
			e.LapsesIn = max(until.Sub(now), time.Nanosecond)
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(string(a.FailureDomain), string(b.FailureDomain)) })
	return all
}

// Ordered returns the failure domains whose orders the store has, sorted by name.
func (d *Domains) Ordered() []currantturn.FailureDomain {
	var all []currantturn.FailureDomain
	for name, until := range d.until {
		if until.IsZero() {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}
