// Package fabric stands in for the network before the balancers in tests: it
// owns the service addresses and sprays packets, with seeded loss and delay.
package fabric
