// Package flowbalancer decides at a balancer where the packets of flows go whose
// data stays opaque: new flows are placed, known ones follow their holder,
// unknown ones are searched for among all agents that may hold them.
package flowbalancer
