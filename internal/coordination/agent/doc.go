// Package agent routes packets at a backend server: it delivers those of the
// flows that the backend server holds and forwards all others to their holders.
package agent
