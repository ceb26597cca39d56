// Package relay encodes the traffic between the balancers and agents of opaque
// flows: packets with their intent, and control messages.
package relay
