package claim_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/state/record"
)

// pair is an owner, process 0, and a runner, process 1, whose messages are
// delivered immediately.
type pair struct {
	*successiveOwners
	wireBytes, messages int
}

func (p *pair) deliver(from int, out *currantturn.Effects) {
	for _, s := range out.Sends {
		encoded, err := message.Encode(s.Message)
		if err != nil {
			panic(err)
		}
		p.wireBytes += len(encoded)
		p.messages++
		var more currantturn.Effects
		p.claims[1-from].Handle(p.now, p.address[from], s.Message, &more)
		p.deliver(1-from, &more)
	}
}

// runKey takes one key from Begin to the confirmed report.
func (p *pair) runKey(n uint64, answer *request.Answer) {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], n*0x9e3779b97f4a7c15)
	k := request.NewKey(p.now, random)
	var out currantturn.Effects
	granted := false
	id := p.claims[1].Begin(p.now, k, request.Digest{}, p.now.Add(time.Minute), false,
		func(v claim.Verdict) { granted = v.State == claim.Granted }, &out)
	p.deliver(1, &out)
	out.Reset()
	if !granted || !p.claims[1].Start(p.now, id, &out) {
		panic("key not granted")
	}
	p.claims[1].Done(p.now, id, claim.Answered, answer, &out)
	p.deliver(1, &out)
}

func newPair() *pair {
	p := &pair{successiveOwners: newSuccessiveOwners(record.MaxBytes)}
	p.configureUpTo(0, 1)
	p.configureUpTo(1, 1)
	return p
}

// BenchmarkClaim measures the processing of one claim at owner and runner,
// including encoding.
func BenchmarkClaim(b *testing.B) {
	p := newPair()
	answer := &request.Answer{Status: 200, BodyKept: true, Body: make([]byte, 100)}
	b.ReportAllocs()
	for n := range b.N {
		p.runKey(uint64(n), answer)
	}
	b.ReportMetric(float64(p.wireBytes)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(p.messages)/float64(b.N), "messages/op")
}

// BenchmarkRecords measures the heap size of one record and the bytes that the
// store reserves for it.
func BenchmarkRecords(b *testing.B) {
	const records = 100_000
	for range b.N {
		p := newPair()
		before := heapBytes()
		for n := range uint64(records) {
			p.runKey(n, &request.Answer{Status: 200, BodyKept: true, Body: make([]byte, 100)})
		}
		b.ReportMetric(float64(heapBytes()-before)/records, "heap-B/record")
		c := p.claims[0].Counters()
		b.ReportMetric(float64(c.Bytes)/float64(c.Records), "reserved-B/record")
		runtime.KeepAlive(p)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
