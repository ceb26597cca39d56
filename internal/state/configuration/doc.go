// Package configuration stores the accepted log of one process: the newest
// records, which it can send to peers, their verdicts and the configuration in
// force.
package configuration
