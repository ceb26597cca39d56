// Package entry receives callers' packets at a balancer and sends answers from the
// service's address. Direct does so on sockets of its own; Proxy does so behind a
// network fabric that prepends PROXY protocol v2 headers to datagrams.
package entry
