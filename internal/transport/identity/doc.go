// Package identity proves to each other which process speaks: mutual TLS under
// the fleet's authorities, reloaded when the files change.
package identity
