// Package drained holds the failure domains whose backend servers get no new flows, by
// order of the operator.
package drained
