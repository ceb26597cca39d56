// Package soak runs the real programs of opaque flows as processes on loopback,
// injects faults from outside them and checks from what callers and backend
// servers see that the promises hold.
package soak
