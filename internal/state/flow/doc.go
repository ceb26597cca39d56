// Package flow stores an agent's flow records in shards, each under its own lock.
package flow
