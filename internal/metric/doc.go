// Package metric publishes the counters of the subsystems through expvar and
// summarises latencies in histograms.
package metric
