package currantturn

import "context"

// Entry is where callers' packets reach a balancer and answers leave it.
type Entry interface {
	// Read waits for a caller's packet; the payload is valid until the next call.
	Read(ctx context.Context, p *Packet) error
	// Write sends an answer to the packet's caller from the service's address.
	Write(p *Packet) error
	// Close ends pending reads.
	Close() error
}
