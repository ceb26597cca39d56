// Package datagram reads and writes UDP sockets.
package datagram
