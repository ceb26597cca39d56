// Package relay encodes what balancers and agents of opaque flows send each
// other: packets with their intent, and the control messages between them.
package relay
