// Package entry reads callers' packets at a balancer and sends answers from
// the service's address: directly, or behind a fabric that speaks PROXY
// protocol v2 for datagrams.
package entry
