// Package harness runs the programs of currantturn as processes on loopback, with
// stand-ins for the platform's store, routers, hosts and clients, for the cases of the
// review.
package harness
