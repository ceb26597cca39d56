// Package probe asks a backend server's health and load endpoints.
package probe
