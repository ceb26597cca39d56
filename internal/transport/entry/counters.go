package entry

import "sync/atomic"

type counts struct {
	received, foreign, malformed, tooLarge, readErrors, written, writeErrors atomic.Uint64
}

// Counters are an entry's totals since its start.
type Counters struct {
	Received    uint64 `json:"received"`     // callers' packets received
	Foreign     uint64 `json:"foreign"`      // datagrams dropped because their source is not the fabric
	Malformed   uint64 `json:"malformed"`    // datagrams dropped because their PROXY header could not be decoded
	TooLarge    uint64 `json:"too_large"`    // datagrams dropped because they exceed the largest size that is read
	ReadErrors  uint64 `json:"read_errors"`  // failed reads of a socket
	Written     uint64 `json:"written"`      // answers sent
	WriteErrors uint64 `json:"write_errors"` // answers that could not be sent
}

// Counters returns the current totals.
func (c *counts) Counters() Counters {
	return Counters{
		Received:    c.received.Load(),
		Foreign:     c.foreign.Load(),
		Malformed:   c.malformed.Load(),
		TooLarge:    c.tooLarge.Load(),
		ReadErrors:  c.readErrors.Load(),
		Written:     c.written.Load(),
		WriteErrors: c.writeErrors.Load(),
	}
}

// countWrite counts a write by its result and returns that result.
func (c *counts) countWrite(err error) error {
	if err != nil {
		c.writeErrors.Add(1)
		return err
	}
	c.written.Add(1)
	return nil
}
