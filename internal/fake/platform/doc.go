// Package platform stands in for the platform's configuration service in
// tests and trials; it can be down, stale, older, rewritten or slow.
package platform
