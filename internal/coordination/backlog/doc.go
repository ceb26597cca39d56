// Package backlog holds the requests that wait at an agent for a slot of its
// backend server, and decides which one runs next.
package backlog
