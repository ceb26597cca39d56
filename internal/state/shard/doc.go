// Package shard keeps a bounded map in shards, each under its own lock.
package shard
