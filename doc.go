// Package currantturn holds the interfaces and shared types of the load
// balancer; implementations live below it in internal/.
package currantturn
