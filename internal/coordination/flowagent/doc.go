// Package flowagent implements the agent of a backend server of opaque flows: it
// tracks the flows from the packets in both directions, holds back requests until
// the backend server has a free slot and reports the load to balancers.
package flowagent
