// Package statesync decides when a balancer reads the platform's store, and
// which published state is in force: the one read from the store or the one
// received from another balancer.
package statesync
