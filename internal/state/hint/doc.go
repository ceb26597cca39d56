// Package hint provides a balancer's cache of flow holders. Losing an entry costs
// one extra hop and never breaks a flow.
package hint
