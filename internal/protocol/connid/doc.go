// Package connid generates QUIC connection IDs that contain the backend server,
// encrypted with the fleet's key, so that any balancer finds a connection's holder.
package connid
