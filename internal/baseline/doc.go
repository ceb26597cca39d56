// Package baseline holds naive balancers, against which tests and measurements
// compare the real ones.
package baseline
