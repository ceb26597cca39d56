// Package admin implements the server and the client of the administration API,
// a read-only HTTP API to the state of one process.
package admin
