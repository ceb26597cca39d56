// Package rank orders a service's backend servers for a key by weighted
// rendezvous hashing, so that a change of the backend servers moves as few keys
// as possible.
package rank
