// Package shard provides a map with a limited number of entries, in shards with a
// lock each.
package shard
