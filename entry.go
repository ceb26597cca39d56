package currantturn

// Entry receives callers' packets at a balancer and sends answers to callers.
type Entry interface {
	// Serve passes callers' packets to handle, from several goroutines, until
	// Close; a packet is valid only during the call.
	Serve(handle func(*Packet)) error
	// Write sends an answer to the packet's caller from the service's address.
	Write(p *Packet) error
	// Close makes Serve return.
	Close() error
}
