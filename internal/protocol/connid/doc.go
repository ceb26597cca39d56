// Package connid makes QUIC connection IDs that carry the backend server under
// the fleet's key, so that any balancer finds a connection's holder.
package connid
