package currantturn

// Entry is where callers' packets reach a balancer and answers leave it.
type Entry interface {
	// Serve hands over callers' packets, from several goroutines, until Close;
	// a packet is valid only during the call of take.
	Serve(take func(*Packet)) error
	// Write sends an answer to the packet's caller from the service's address.
	Write(p *Packet) error
	// Close ends Serve.
	Close() error
}
