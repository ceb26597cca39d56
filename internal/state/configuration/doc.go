// Package configuration holds the accepted log of one process: the records it
// can hand to peers, their verdicts and the configuration in force.
package configuration
