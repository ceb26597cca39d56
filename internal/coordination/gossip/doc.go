// Package gossip spreads the configuration: few processes of a failure domain
// watch the platform, the rest learn from peers.
package gossip
