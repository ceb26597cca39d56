// Package link carries sealed datagrams between the system's processes and
// replaces a peer's channel by a fresh socket when it has gone silent.
package link
