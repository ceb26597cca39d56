// Package warmup limits the new flows of a backend server that has recently started.
package warmup
