// Package health judges a backend server by its own endpoints, which lag and
// mislead, and by the requests that the agent itself sent to it.
package health
