// Package record keeps bounded records of request keys in shards, each under
// its own lock, and never drops one before its retention has passed.
package record
