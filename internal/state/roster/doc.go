// Package roster keeps the registrations of backend servers, those that left
// or lapsed for a while included.
package roster
