// Package schedule provides a list of keys in the order of the times at which they
// are due.
package schedule
