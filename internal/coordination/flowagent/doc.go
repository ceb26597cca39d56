// Package flowagent implements the agent of a backend server of opaque flows: it
// tracks the flows from the packets in both directions, paces requests to the
// backend server's slots and reports the load to balancers.
package flowagent
