// Package gossip distributes the configuration: a few watchers in each failure
// domain read it from the platform, and all other processes receive it from peers.
package gossip
