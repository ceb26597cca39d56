// Package flowagent decides at an agent which opaque flows its backend server
// holds, from the packets that pass both ways.
package flowagent
