// Package core wires the decision machines of a balancer or an agent to
// sockets, timers and the platform's readers.
package core
