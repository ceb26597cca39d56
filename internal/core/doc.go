// Package core connects the machines of a balancer or an agent, which decide
// without I/O, to sockets, timers and the readers of the platform.
package core
