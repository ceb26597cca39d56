package gossip_test

import (
	"errors"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

// platform simulates the platform: the published log, and its faults.
type platform struct {
	records           []currantturn.Record
	config            *patch.Configuration
	snapshot          []byte
	oldestSnapshot    []byte // returned while the platform is stale
	vms               []currantturn.VM
	down              bool
	shownRecords      int                  // number of records returned while the platform is stale, -1 for all
	rewritten         []currantturn.Record // replaces records when the log is rewritten
	readsThisSecond   int                  // reads in the current second
	maxReadsPerSecond int
	totalReads        int
	watches           []watch
}

// watch is a read that waits for new records.
type watch struct {
	p            *process
	incarnation  int // of the process when the watch started
	read         currantturn.Read
	deadlineStep int // step at which the watch ends without a change
}

// publishSnapshot publishes a snapshot of the current configuration.
func (f *fleet) publishSnapshot() {
	f.platform.snapshot = f.snapshotBytes()
}

// snapshotBytes encodes a snapshot of the current configuration.
func (f *fleet) snapshotBytes() []byte {
	p, err := configuration.EncodeSnapshot(f.platform.config)
	if err != nil {
		panic(err)
	}
	return p
}

// publish appends a patch that changes a weight and returns its position.
func (f *fleet) publish() uint64 {
	s := &f.platform.config.Services[f.r.IntN(len(f.platform.config.Services))]
	p, _ := patch.Encode(&patch.Patch{BuildsOn: f.platform.config.Version, Operations: []patch.Operation{
		patch.SetWeight{Service: s.Name, ID: s.Backends[f.r.IntN(len(s.Backends))].ID, Weight: 1 + f.r.IntN(9)},
	}})
	return f.append(p)
}

// append publishes a record with the encoded patch p and returns its position.
func (f *fleet) append(p []byte) uint64 {
	r := currantturn.Record{Position: f.platform.config.Position + 1, Author: "asha", Time: f.now, Patch: p}
	c, _, err := f.platform.config.Next(&r)
	if err != nil {
		panic(err)
	}
	f.platform.config = c
	f.platform.records = append(f.platform.records, r)
	return r.Position
}

var errPlatformDown = errors.New("connection refused")

// shownLog returns the records that the platform currently returns.
func (f *fleet) shownLog() []currantturn.Record {
	if f.platform.rewritten != nil {
		return f.platform.rewritten
	}
	if n := f.platform.shownRecords; n >= 0 {
		return f.platform.records[:n]
	}
	return f.platform.records
}

// read simulates a platform read and schedules its result, or keeps it as a watch.
func (f *fleet) read(p *process, r currantturn.Read) {
	f.platform.readsThisSecond++
	f.platform.totalReads++
	result := &currantturn.ReadResult{Read: r}
	switch {
	case f.platform.down || f.cannotReachPlatform != nil && f.cannotReachPlatform(p):
		result.Err = errPlatformDown
	case r.Kind == currantturn.ReadSnapshot:
		result.Snapshot = f.platform.snapshot
		if f.platform.shownRecords >= 0 {
			result.Snapshot = f.platform.oldestSnapshot
		}
	case r.Kind == currantturn.ReadVMs:
		result.VMs = f.platform.vms
	default:
		if log := f.shownLog(); r.After < uint64(len(log)) {
			result.Records = log[r.After:]
		} else if r.Wait > 0 {
			f.platform.watches = append(f.platform.watches, watch{p, p.incarnation, r, f.step + int(r.Wait/step)})
			return
		}
	}
	f.enqueue(readDelaySteps, delivery{to: p, read: result, incarnation: p.incarnation})
}

// completeWatches ends the watches that have new records, failed or timed out.
func (f *fleet) completeWatches() {
	log := f.shownLog()
	kept := f.platform.watches[:0]
	for _, w := range f.platform.watches {
		result := &currantturn.ReadResult{Read: w.read}
		switch {
		case f.platform.down || f.cannotReachPlatform != nil && f.cannotReachPlatform(w.p):
			result.Err = errPlatformDown
		case w.read.After < uint64(len(log)):
			result.Records = log[w.read.After:]
		case f.step < w.deadlineStep:
			kept = append(kept, w)
			continue
		}
		f.enqueue(readDelaySteps, delivery{to: w.p, read: result, incarnation: w.incarnation})
	}
	f.platform.watches = kept
}
