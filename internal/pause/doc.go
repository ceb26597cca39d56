// Package pause waits for a duration or until a context ends.
package pause
