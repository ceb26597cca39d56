// Package published carries the published state from one balancer to another.
package published
