// Package suite runs ginkgo and rapid with fixed seeds, so that CI gives the
// same verdict on every run.
package suite
