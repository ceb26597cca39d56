// Package admission limits the requests that run at once on a backend server:
// its agent runs a request now, queues it, forwards it to a peer or refuses it.
package admission
