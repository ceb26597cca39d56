// Package backlog orders the requests that wait at an agent for a slot of its
// backend server.
package backlog
