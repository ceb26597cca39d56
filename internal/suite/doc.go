// Package suite runs ginkgo and rapid with fixed seeds, so that CI runs are
// reproducible.
package suite
