// Package agent decides, beside each backend server, which flows it holds and
// where the packets of all others go.
package agent
