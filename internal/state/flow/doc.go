// Package flow stores an agent's flow records in a table of shards, each with
// its own lock.
package flow
