// Package vet checks a configuration of opaque flows before it is published, and compares
// it with the one in force.
package vet
