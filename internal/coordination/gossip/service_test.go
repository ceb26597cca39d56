package gossip_test

import (
	"errors"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

// platform is the published log and its faults.
type platform struct {
	records  []currantturn.Record
	config   *patch.Configuration
	snapshot []byte
	first    []byte // the oldest snapshot, shown by a stale service
	vms      []currantturn.VM
	down     bool
	shown    int // records that a stale service shows, -1 for all
	other    []currantturn.Record
	reads    int // in this second
	maxReads int
	allReads int
	waiting  []waiting
}

type waiting struct {
	p     *process
	life  int
	read  currantturn.Read
	until int
}

func (f *fleet) publishSnapshot() {
	f.platform.snapshot = f.snapshotBytes()
}

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

var errDown = errors.New("connection refused")

// log returns what the service shows at present.
func (f *fleet) shownLog() []currantturn.Record {
	if f.platform.other != nil {
		return f.platform.other
	}
	if n := f.platform.shown; n >= 0 {
		return f.platform.records[:n]
	}
	return f.platform.records
}

func (f *fleet) read(p *process, r currantturn.Read) {
	f.platform.reads++
	f.platform.allReads++
	result := &currantturn.ReadResult{Read: r}
	switch {
	case f.platform.down || f.blind != nil && f.blind(p):
		result.Err = errDown
	case r.Kind == currantturn.ReadSnapshot:
		result.Snapshot = f.platform.snapshot
		if f.platform.shown >= 0 {
			result.Snapshot = f.platform.first
		}
	case r.Kind == currantturn.ReadVMs:
		result.VMs = f.platform.vms
	default:
		if log := f.shownLog(); r.After < uint64(len(log)) {
			result.Records = log[r.After:]
		} else if r.Wait > 0 {
			f.platform.waiting = append(f.platform.waiting, waiting{p, p.lives, r, f.step + int(r.Wait/step)})
			return
		}
	}
	f.enqueue(readSteps, delivery{to: p, read: result, life: p.lives})
}

func (f *fleet) answerWatches() {
	log := f.shownLog()
	kept := f.platform.waiting[:0]
	for _, w := range f.platform.waiting {
		result := &currantturn.ReadResult{Read: w.read}
		switch {
		case f.platform.down || f.blind != nil && f.blind(w.p):
			result.Err = errDown
		case w.read.After < uint64(len(log)):
			result.Records = log[w.read.After:]
		case f.step < w.until:
			kept = append(kept, w)
			continue
		}
		f.enqueue(readSteps, delivery{to: w.p, read: result, life: w.life})
	}
	f.platform.waiting = kept
}
