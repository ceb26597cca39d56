// Package flowbalancer routes the packets of opaque flows at a balancer. It places
// new flows on backend servers, forwards packets of known flows to their holder
// and searches all agents that may hold an unknown flow.
package flowbalancer
