// Package seal authenticates the datagrams between the system's processes and
// rejects forged, replayed and stale ones.
package seal
