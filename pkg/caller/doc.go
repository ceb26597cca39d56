// Package caller sends requests to a service behind currantturn and retries them
// such that each request runs at most once.
package caller
