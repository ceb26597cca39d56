// Package rank orders a service's backend servers for a key by weighted
// rendezvous hashing, so that a change moves only the keys it must.
package rank
