// Package fabric is a fake of the network in front of the balancers. It listens on
// the service addresses and sprays packets over the balancers, with random loss and
// delay from a seed.
package fabric
