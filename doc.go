// Package currantturn defines the interfaces and shared types of the load
// balancer; the implementations are in internal/.
package currantturn
