// Package envelope encodes envelopes, which carry callers' packets between
// processes, in a fixed binary layout and without allocation.
package envelope
