// Package statesync decides when a balancer reads the platform's store, and
// which of the published states that it reads or hears of is in force.
package statesync
