// Package backend stands in for a backend server in tests: slots, cold start,
// drain, shedding, and health and load endpoints that may lag or mislead.
package backend
