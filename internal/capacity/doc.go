// Package capacity works out what each role costs at a given size of the fleet
// from measured slopes, and renews the table of docs/CAPACITY.md.
package capacity
