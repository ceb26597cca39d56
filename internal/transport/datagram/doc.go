// Package datagram sends and receives datagrams on UDP sockets over IPv4.
package datagram
