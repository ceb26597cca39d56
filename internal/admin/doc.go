// Package admin serves the administration API, which reads the state of one
// process over HTTP and changes nothing, and holds its client.
package admin
