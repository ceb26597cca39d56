package currantturn

import (
	"context"
	"time"
)

// Item is one decoded item of the store; exactly one field is set.
type Item struct {
	Routing      *Routing
	Registration *Registration
	Removed      BackendID // whose registration was deleted
	Unusable     BackendID // under whose ID something stands that is no registration
	Drain        *DrainOrder
}

// DrainOrder is the operator's order that the backend servers of a failure domain get no
// new flows, or its revocation.
type DrainOrder struct {
	FailureDomain FailureDomain `cbor:"1,keyasint"`
	Revoked       bool          `cbor:"2,keyasint,omitempty"`
}

// Listing is the result of a read of the store.
type Listing struct {
	Items    []Item
	Position // of the store, after which a watch continues
}

// Store reads from the platform's store. Its errors wrap ErrUnavailable, ErrCompacted,
// ErrMalformed or ErrTooLarge. A listing that comes with an error holds the era, if
// the store's response has one, and nothing else.
type Store interface {
	// Configuration reads the published configuration and the orders to drain failure
	// domains; the listing is empty if there are none.
	Configuration(ctx context.Context) (Listing, error)
	// Registrations reads all registrations.
	Registrations(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision. If there are none, it waits up to
	// wait for one.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Unreadable returns how many items were unusable when last read.
	Unreadable() int
}
