// Package link sends and receives the authenticated datagrams that balancers and
// agents exchange. On request it sends to a peer from a fresh socket, because the
// network path of one port pair can fail while the peer itself is alive.
package link
