// Package try runs a whole deployment in one process on loopback, with real
// sockets and HTTP/3 callers. It applies planned changes while the callers send
// requests, and checks that no invariant is violated.
package try
