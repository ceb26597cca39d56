package gossip_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var (
	measure = flag.Bool("measure", false, "run the measurements for docs/MEASUREMENTS.md and print the figures")
	largest = flag.Int("largest", 10_450, "number of processes of the largest fleet to measure")
	sizes   = []int{10, 100, 1000, 10_450}
)

// inForceTimes publishes patches one after another and returns the sorted delays
// until each was in force, over all processes. Each may take at most d.
func (f *fleet) inForceTimes(changes int, d time.Duration) []time.Duration {
	var all []time.Duration
	for range changes {
		f.run(time.Duration(f.r.IntN(2000)) * time.Millisecond)
		from := f.now
		f.publish()
		f.runUntil(d, f.converged)
		for _, p := range f.all {
			all = append(all, p.inForceAt.Sub(from))
		}
	}
	slices.Sort(all)
	return all
}

// resetMeasurements clears the counts of reads and bytes.
func (f *fleet) resetMeasurements() {
	f.endSecond()
	f.platform.maxReadsPerSecond, f.platform.totalReads = 0, 0
	for _, p := range f.all {
		p.maxBytes, p.totalBytes = 0, 0
	}
}

// bytesSent returns the most bytes that a process sent in one second, and the mean
// total per process.
func (f *fleet) bytesSent() (most, mean int) {
	for _, p := range f.all {
		most = max(most, p.maxBytes)
		mean += p.totalBytes
	}
	return most, mean / len(f.all)
}

// TestTimeToInForce measures the fleet after a restart of all processes, at rest,
// under changes, and after a restart of half of the processes.
func TestTimeToInForce(t *testing.T) {
	if !*measure {
		t.Skip("run with -measure")
	}
	RegisterTestingT(t)
	for _, n := range sizes {
		if n > *largest {
			continue
		}
		begin := time.Now()
		f := newFleet(1, n)
		f.startAll()
		from := f.now
		ok := f.runUntil(3*time.Minute, f.converged)
		joined := f.now.Sub(from)
		f.run(10 * time.Second)
		f.endSecond()
		reads := f.platform.maxReadsPerSecond
		most, _ := f.bytesSent()
		fmt.Printf("n=%d restart of all: converged=%v in %v, reads/s peak %d, bytes/s max %d\n", n, ok, joined, reads, most)
		f.run(2 * time.Minute)
		f.resetMeasurements()
		f.run(time.Minute)
		most, mean := f.bytesSent()
		fmt.Printf("n=%d at rest: reads/s peak %d mean %.1f, bytes/s max %d mean %d\n", n,
			f.platform.maxReadsPerSecond, float64(f.platform.totalReads)/60, most, mean/60)
		f.resetMeasurements()
		start := f.now
		ts := f.inForceTimes(5, 30*time.Second)
		most, mean = f.bytesSent()
		fmt.Printf("n=%d change: p50 %v max %v, reads/s peak %d, bytes/s max %d mean %.0f, violations %v (%.0f s)\n", n,
			ts[len(ts)/2], ts[len(ts)-1], f.platform.maxReadsPerSecond, most, float64(mean)/f.now.Sub(start).Seconds(), f.violations,
			time.Since(begin).Seconds())
		f.resetMeasurements()
		from = f.now
		for _, p := range f.all {
			if f.r.IntN(2) == 0 {
				f.start(p)
			}
		}
		ok = f.runUntil(3*time.Minute, f.converged)
		f.endSecond()
		most, _ = f.bytesSent()
		fmt.Printf("n=%d restart of half: converged=%v in %v, reads/s peak %d, bytes/s max %d, violations %v\n", n, ok,
			f.now.Sub(from), f.platform.maxReadsPerSecond, most, f.violations)
		for _, wait := range []time.Duration{0, 20 * time.Second} {
			p50, longest, peak := directReadBaseline(n, wait)
			fmt.Printf("n=%d direct reads by all processes, wait %v: change p50 %v max %v, reads/s peak %d\n", n, wait, p50, longest, peak)
		}
	}
}

// directReadBaseline computes the baseline without gossip: each process polls the
// platform every 4 s or, with a wait, holds a watch that every change ends. It
// returns the median and longest delay until a change is known, and the most
// reads in one second.
func directReadBaseline(n int, wait time.Duration) (p50, longest time.Duration, peak int) {
	const pollInterval = 4 * time.Second
	r := rand.New(rand.NewPCG(1, 1))
	var known []time.Duration
	reads := map[time.Duration]int{}
	for range n {
		phase := time.Duration(r.Int64N(int64(max(pollInterval, wait))))
		if wait == 0 {
			known = append(known, phase+readDelaySteps*step)
			reads[phase.Truncate(time.Second)]++
			continue
		}
		known = append(known, readDelaySteps*step)
		reads[0]++ // the watch ends with the change and the next one begins
	}
	slices.Sort(known)
	for _, k := range reads {
		peak = max(peak, k)
	}
	return known[n/2], known[n-1], peak
}
