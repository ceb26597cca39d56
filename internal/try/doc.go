// Package try runs a whole deployment in one process on loopback, with real
// sockets and HTTP/3 callers, causes planned changes and checks what must hold.
package try
