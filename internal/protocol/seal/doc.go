// Package seal authenticates the datagrams between the system's processes and
// refuses forged, replayed and stale ones.
package seal
