// Package roster stores the registrations of backend servers, including, for a
// limited time, those that were removed or have lapsed.
package roster
