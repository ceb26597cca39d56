package currantturn

import (
	"context"
	"time"
)

// Item is one decoded item of the store; exactly one field is set.
type Item struct {
	Routing      *Routing
	Registration *Registration
	Removed      BackendID // whose registration is gone or names nothing to use
}

// Listing is what a read of the store returned.
type Listing struct {
	Items    []Item
	Revision uint64 // of the store, from which a watch continues
}

// Store reads what the platform's store holds. Its errors wrap ErrUnavailable,
// ErrCompacted or ErrMalformed.
type Store interface {
	// Configuration reads the published configuration; without one the listing
	// is empty.
	Configuration(ctx context.Context) (Listing, error)
	// Registrations reads all registrations.
	Registrations(ctx context.Context) (Listing, error)
	// Watch returns the changes after a revision, waiting up to wait for one.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
}
