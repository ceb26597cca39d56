// Package probe sends requests to a backend server's health and load endpoints.
package probe
