// Package soak runs the real programs for opaque flows as processes on loopback,
// injects faults from outside and verifies the system's guarantees from what callers
// and backend servers observe.
package soak
