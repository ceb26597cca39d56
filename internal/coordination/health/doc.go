// Package health derives the state of a backend server from its own endpoints,
// which may be late or wrong, and from the requests that the agent sent to it.
package health
