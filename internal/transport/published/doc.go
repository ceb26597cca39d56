// Package published transfers the published state from one balancer to another
// over HTTP.
package published
