// Package baseline implements simple balancers with which tests and measurements
// compare the real ones.
package baseline
