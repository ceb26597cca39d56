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
	measure = flag.Bool("measure", false, "print the figures of docs/MEASUREMENTS.md")
	largest = flag.Int("largest", 10_450, "most processes of the measurement")
	sizes   = []int{10, 100, 1000, 10_450}
)

// inForceTimes publishes patches and returns the sorted delays over all processes.
func (f *fleet) inForceTimes(changes int, d time.Duration) []time.Duration {
	var all []time.Duration
	for range changes {
		f.run(time.Duration(f.r.IntN(2000)) * time.Millisecond)
		from := f.now
		f.publish()
		f.until(d, f.converged)
		for _, p := range f.all {
			all = append(all, p.at.Sub(from))
		}
	}
	slices.Sort(all)
	return all
}

func (f *fleet) resetFigures() {
	f.second()
	f.platform.maxReads, f.platform.allReads = 0, 0
	for _, p := range f.all {
		p.maxBytes, p.sum = 0, 0
	}
}

func (f *fleet) maxBytes() (most, mean int) {
	for _, p := range f.all {
		most = max(most, p.maxBytes)
		mean += p.sum
	}
	return most, mean / len(f.all)
}

// TestTimeToInForce measures the fleet at rest, under changes and at a restart
// of all processes.
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
		ok := f.until(3*time.Minute, f.converged)
		joined := f.now.Sub(from)
		f.run(10 * time.Second)
		f.second()
		reads := f.platform.maxReads
		most, _ := f.maxBytes()
		fmt.Printf("n=%d restart of all: converged=%v in %v, reads/s peak %d, bytes/s max %d\n", n, ok, joined, reads, most)
		f.run(2 * time.Minute)
		f.resetFigures()
		f.run(time.Minute)
		most, mean := f.maxBytes()
		fmt.Printf("n=%d at rest: reads/s peak %d mean %.1f, bytes/s max %d mean %d\n", n,
			f.platform.maxReads, float64(f.platform.allReads)/60, most, mean/60)
		f.resetFigures()
		start := f.now
		ts := f.inForceTimes(5, 30*time.Second)
		most, mean = f.maxBytes()
		fmt.Printf("n=%d change: p50 %v max %v, reads/s peak %d, bytes/s max %d mean %.0f, faults %v (%.0f s)\n", n,
			ts[len(ts)/2], ts[len(ts)-1], f.platform.maxReads, most, float64(mean)/f.now.Sub(start).Seconds(), f.faults,
			time.Since(begin).Seconds())
		f.resetFigures()
		from = f.now
		for _, p := range f.all {
			if f.r.IntN(2) == 0 {
				f.start(p)
			}
		}
		ok = f.until(3*time.Minute, f.converged)
		f.second()
		most, _ = f.maxBytes()
		fmt.Printf("n=%d restart of half: converged=%v in %v, reads/s peak %d, bytes/s max %d, faults %v\n", n, ok,
			f.now.Sub(from), f.platform.maxReads, most, f.faults)
		for _, wait := range []time.Duration{0, 20 * time.Second} {
			p50, longest, peak := everybodyReads(n, wait)
			fmt.Printf("n=%d everybody reads, wait %v: change p50 %v max %v, reads/s peak %d\n", n, wait, p50, longest, peak)
		}
	}
}

// everybodyReads is the naive baseline: each process polls every 4 s, or holds
// a watch that every change ends; it returns when a change is known and the
// most reads in a second.
func everybodyReads(n int, wait time.Duration) (p50, longest time.Duration, peak int) {
	const every = 4 * time.Second
	r := rand.New(rand.NewPCG(1, 1))
	var known []time.Duration
	reads := map[time.Duration]int{}
	for range n {
		phase := time.Duration(r.Int64N(int64(max(every, wait))))
		if wait == 0 {
			known = append(known, phase+readSteps*step)
			reads[phase.Truncate(time.Second)]++
			continue
		}
		known = append(known, readSteps*step)
		reads[0]++ // the watch ends with the change and the next one begins
	}
	slices.Sort(known)
	for _, k := range reads {
		peak = max(peak, k)
	}
	return known[n/2], known[n-1], peak
}
