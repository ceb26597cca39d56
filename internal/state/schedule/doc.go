// Package schedule keeps keys for which something is due, in order of time.
package schedule
