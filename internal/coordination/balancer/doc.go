// Package balancer selects the agent to which an entry VM forwards each packet.
package balancer
