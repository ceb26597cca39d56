package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/gossip"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestGossip(t *testing.T) { suite.Run(t, "gossip") }

// recoveryTimeout is how long a fleet may take to recover from any fault. It
// covers a process that receives nothing from peers and reads the platform
// within its read period.
const recoveryTimeout = 3 * time.Minute

// newConvergedFleet starts n processes and waits until they have converged.
func newConvergedFleet(n int) *fleet {
	f := newFleet(1, n)
	f.seeds = true
	f.startAll()
	Expect(f.runUntil(recoveryTimeout, f.converged)).To(BeTrue())
	return f
}

// expectConverged runs for at most d until the fleet has converged, and fails with
// the counters of a process that has not.
func (f *fleet) expectConverged(d time.Duration) {
	GinkgoHelper()
	ok := f.runUntil(d, f.converged)
	Expect(f.violations).To(BeEmpty())
	if !ok {
		for _, p := range f.all {
			if p.view == nil || p.view.Version != f.platform.config.Version || !p.m.Ready() {
				Expect(p.m.Counters()).To(BeNil(), "process %d has not converged on version %d", p.index, f.platform.config.Version)
			}
		}
	}
}

// countEvents returns how often all processes reported an event.
func (f *fleet) countEvents(number int) int {
	n := 0
	for _, p := range f.all {
		n += p.events[number]
	}
	return n
}

var _ = Describe("dissemination", func() {
	It("puts a change in force at every process within 4 s, within the limits of reads and bytes", func() {
		f := newConvergedFleet(300)
		f.run(30 * time.Second)
		f.resetMeasurements()
		ts := f.inForceTimes(5, 30*time.Second)
		Expect(ts[len(ts)-1]).To(BeNumerically("<", 4*time.Second))
		most, _ := f.bytesSent()
		Expect(most).To(BeNumerically("<=", 5000))
		Expect(f.platform.maxReadsPerSecond).To(BeNumerically("<", 200))
		Expect(f.violations).To(BeEmpty())
	})

	It("survives a platform outage of one hour with restarts of processes", func() {
		f := newConvergedFleet(30)
		f.publish()
		f.expectConverged(recoveryTimeout)
		f.platform.down = true
		for range 6 {
			f.run(10 * time.Minute)
			f.start(f.all[f.r.IntN(len(f.all))])
		}
		f.expectConverged(time.Minute) // restarted processes get their configuration from peers
		Expect(f.platform.maxReadsPerSecond).To(BeNumerically("<", 200))
		f.platform.down = false
		f.publish()
		f.expectConverged(recoveryTimeout)
		Expect(f.countEvents(event.PlatformUnavailable)).To(BeNumerically(">", 0))
	})

	It("keeps the newer version while the platform returns an older log for an hour", func() {
		f := newConvergedFleet(30)
		for range 5 {
			f.publish()
			f.expectConverged(recoveryTimeout)
		}
		f.platform.shownRecords = 2
		f.run(time.Hour)
		f.start(f.all[3])
		f.expectConverged(time.Minute) // the restarted process reads version 1 and gets the rest from peers
		Expect(f.countEvents(event.ConfigurationStale)).To(BeNumerically(">", 0))
		Expect(f.countEvents(event.ConfigurationDiverged)).To(BeZero())
		f.platform.shownRecords = -1
		f.publish()
		f.expectConverged(recoveryTimeout)
	})

	It("keeps the configuration in force when the log is rewritten, and reports the divergence", func() {
		for seed := range uint64(40) {
			f := newFleet(seed, 30)
			f.seeds = true
			f.startAll()
			f.expectConverged(recoveryTimeout)
			f.publish()
			f.expectConverged(recoveryTimeout)
			rewritten := newFleet(seed, 30)
			rewritten.append([]byte(`{}`))
			rewritten.append([]byte(`{}`))
			f.platform.rewritten = rewritten.platform.records
			f.platform.snapshot = rewritten.snapshotBytes()
			f.seeds = false
			f.start(f.all[5]) // starts from the rewritten snapshot and must discard it
			f.run(2 * time.Minute)
			f.expectConverged(time.Second)
			Expect(f.countEvents(event.ConfigurationDiverged)).To(BeNumerically(">", 0), "seed %d", seed)
		}
	})

	It("converges on the highest version after a partition", func() {
		f := newConvergedFleet(40)
		f.partitioned = func(a, b *process) bool { return a.domain < 3 != (b.domain < 3) }
		readableSide := f.all[0].domain < 3
		f.cannotReachPlatform = func(p *process) bool { return p.domain < 3 != readableSide }
		for range 3 {
			f.publish()
			f.run(time.Minute)
		}
		versions := map[currantturn.Version]int{}
		for _, p := range f.all {
			versions[p.view.Version]++
		}
		Expect(versions).To(HaveLen(2), "the two sides of the partition have different versions")
		f.partitioned = nil
		f.expectConverged(20 * time.Second)
	})

	It("catches up on many records through a checkpoint and the records after it", func() {
		f := newConvergedFleet(20)
		f.platform.down = true
		late := f.all[7]
		late.m = nil
		f.platform.down = false
		for range 300 {
			f.publish()
			f.run(300 * time.Millisecond)
		}
		f.platform.down = true
		f.start(late)
		late.maxBytes = 0
		f.expectConverged(recoveryTimeout)
		Expect(late.m.Counters().CheckpointsTaken).To(BeNumerically(">", 0))
	})

	It("makes the same decisions in every run with the same seed", func() {
		run := func() string {
			f := newFleet(9, 25)
			f.loss = 0.1
			f.startAll()
			for range 4 {
				f.publish()
				f.run(10 * time.Second)
				f.start(f.all[f.r.IntN(len(f.all))])
			}
			s := fmt.Sprint(f.messagesSent, f.platform.totalReads)
			for _, p := range f.all {
				s += fmt.Sprint(p.inForceAt, p.totalBytes, p.m.Counters())
			}
			return s
		}
		Expect(run()).To(Equal(run()))
	})

	It("transfers records that span several parts", func() {
		f := newConvergedFleet(20)
		p, _ := patch.Encode(&patch.Patch{BuildsOn: f.platform.config.Version, Operations: weightOperations(f)})
		Expect(len(p)).To(BeNumerically(">", 20_000))
		f.append(p)
		f.expectConverged(recoveryTimeout)
	})
})

// weightOperations returns enough operations for a record of several parts.
func weightOperations(f *fleet) []patch.Operation {
	var ops []patch.Operation
	for i := range 300 {
		s := f.platform.config.Services[0]
		ops = append(ops, patch.SetWeight{Service: s.Name, ID: s.Backends[i%len(s.Backends)].ID, Weight: f.r.IntN(900)})
	}
	return append(ops, patch.SetWeight{
		Service: f.platform.config.Services[0].Name, ID: f.platform.config.Services[0].Backends[0].ID, Weight: 1,
	})
}

// injectFault draws and applies one fault, change or repair.
func (f *fleet) injectFault(t *rapid.T) {
	p := f.all[rapid.IntRange(0, len(f.all)-1).Draw(t, "process")]
	switch rapid.SampledFrom([]string{
		"publish", "publish", "publish", "race", "snapshot", "down", "up", "stale", "fresh", "older",
		"cut", "heal", "restart", "restart half", "pause", "loss",
	}).Draw(t, "fault") {
	case "publish":
		f.publish()
	case "race": // two operators publish patches for the same version
		version := f.platform.config.Version
		f.publish()
		b, _ := patch.Encode(&patch.Patch{BuildsOn: version, Operations: weightOperations(f)[:1]})
		f.append(b)
	case "snapshot":
		f.publishSnapshot()
	case "down":
		f.platform.down = true
	case "up":
		f.platform.down = false
	case "stale":
		f.platform.shownRecords = len(f.platform.records)
	case "older":
		f.platform.shownRecords = 1 + f.r.IntN(len(f.platform.records))
	case "fresh":
		f.platform.shownRecords = -1
	case "cut":
		k := rapid.IntRange(1, 4).Draw(t, "domains")
		f.partitioned = func(a, b *process) bool { return a.domain < k != (b.domain < k) }
	case "heal":
		f.partitioned = nil
	case "restart":
		f.start(p)
	case "restart half":
		for _, p := range f.all {
			if f.r.IntN(2) == 0 {
				f.start(p)
			}
		}
	case "pause":
		p.pauseSteps = f.r.IntN(60 * stepsInSecond)
	case "loss":
		f.loss = []float64{0, 0.1, 0.3}[f.r.IntN(3)]
	}
}

// TestRandomFaults checks that random faults never make a process go back to a
// lower version or accept a digest that differs from the published log, and that
// the fleet converges once all faults are repaired.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 40).Draw(t, "processes"))
		f.seeds = rapid.Bool().Draw(t, "seeds")
		f.startAll()
		for range rapid.IntRange(1, 20).Draw(t, "faults") {
			f.injectFault(t)
			f.run(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond)
		}
		f.platform.down, f.platform.shownRecords, f.partitioned, f.loss = false, -1, nil, 0
		if !f.runUntil(recoveryTimeout, f.converged) {
			for _, p := range f.all {
				t.Logf("process %d %+v", p.index, p.m.Counters())
			}
			t.Fatalf("not converged on version %d", f.platform.config.Version)
		}
		f.publish()
		if !f.runUntil(recoveryTimeout, f.converged) || len(f.violations) > 0 {
			t.Fatalf("not converged after a further change, or invariants violated: %v", f.violations)
		}
		f.expectSameVerdicts(t)
	})
}

// expectSameVerdicts compares each retained verdict with those of a sequential
// evaluation of the published log.
func (f *fleet) expectSameVerdicts(t *rapid.T) {
	c := f.base
	want := map[uint64]patch.Outcome{}
	for i := range f.platform.records[1:] {
		next, v, err := c.Next(&f.platform.records[i+1])
		if err != nil {
			t.Fatal(err)
		}
		c = next
		want[v.Position] = v.Outcome
	}
	for _, p := range f.all {
		for _, e := range p.m.Log().Entries() {
			if e.Verdict.Outcome != want[e.Record.Position] {
				t.Fatalf("process %d has the wrong verdict %v at position %d", p.index, e.Verdict, e.Record.Position)
			}
		}
	}
}

// FuzzHandle passes arbitrary decodable messages to a configured machine. The
// machine must keep its configuration and send only messages that can be encoded.
func FuzzHandle(f *testing.F) {
	RegisterTestingT(f)
	fl := newFleet(1, 5)
	fl.startAll()
	fl.runUntil(recoveryTimeout, fl.converged)
	for _, m := range []currantturn.Message{
		gossip.Digest{Position: 9, Chain: make([]byte, patch.DigestBytes), Age: -1, ReplyRequested: true},
		gossip.Pull{After: 0, Part: -1},
		gossip.Part{Position: 2, Index: 0, Total: 2, Data: []byte{1}},
		gossip.Part{Position: 2, Total: 1, Data: []byte{0x85}},
		gossip.Fetch{Sum: make([]byte, patch.DigestBytes), Index: -1, Count: 1 << 40},
		gossip.Offer{Position: 9, Sum: make([]byte, patch.DigestBytes), Bytes: 1 << 62},
		gossip.Chunk{Sum: make([]byte, patch.DigestBytes), Index: 1 << 40},
	} {
		p, err := message.Encode(m)
		Expect(err).NotTo(HaveOccurred())
		f.Add(p)
	}
	p := fl.all[0]
	opts := gossip.Options{Self: p.addr, Domain: domains[0], Decode: fl.decode}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := message.Decode(b)
		if err != nil {
			return
		}
		opts.Random = rand.New(rand.NewPCG(1, 1))
		machine := gossip.New(opts)
		var out currantturn.Effects
		machine.Tick(fl.now, &out)
		read := &currantturn.ReadResult{Read: currantturn.Read{Kind: currantturn.ReadSnapshot}, Snapshot: fl.platform.snapshot}
		machine.ReadCompleted(fl.now, read, &out)
		for range 3 {
			machine.Handle(fl.now, fl.all[1].addr, m, &out)
			machine.Tick(fl.now.Add(time.Second), &out)
		}
		if machine.Log().Current().Version < 1 {
			t.Fatal("machine went back to a version before the snapshot")
		}
		for _, s := range out.Sends {
			if _, err := message.Encode(s.Message); err != nil {
				t.Fatal(err)
			}
		}
	})
}
