// Package capacity computes the costs of each role at a given fleet size from
// measured slopes, and updates the tables in docs/CAPACITY.md.
package capacity
