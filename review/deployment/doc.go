// Package deployment runs a small deployment of the real programs on loopback addresses:
// balancers and agents as processes, with stand-ins for the platform's store and routers,
// for backend servers and for callers. The cases of the review use it.
package deployment
