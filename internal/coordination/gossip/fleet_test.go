package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/gossip"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

const (
	step             = 5 * time.Millisecond // simulated time per step, and the delay within a region
	interRegionSteps = 8                    // delay between regions, in steps
	readDelaySteps   = 2                    // delay of a platform read, in steps
	ringSteps        = 64                   // length of the delivery ring, above every delay
	tickSteps        = int(currantturn.TickInterval / step)
	stepsInSecond    = int(time.Second / step)
)

var domains = []currantturn.FailureDomain{"kivukoni", "upanga", "kurasini", "hall-a", "hall-b"}

// process is one simulated process and what was observed of it.
type process struct {
	m               *gossip.Machine
	addr            netip.AddrPort
	domain          int // index in domains
	index           int
	pauseSteps      int // steps left of a pause
	incarnation     int // number of starts
	view            *currantturn.View
	inForceAt       time.Time // when the last view was put in force
	highestDigest   uint64    // highest position received in a digest since the last start
	highestDigestAt time.Time
	bytesThisSecond int         // bytes sent in the current second
	maxBytes        int         // most bytes sent in one second
	totalBytes      int         // bytes sent since the start of the measurement
	events          map[int]int // count by event number
}

// delivery is an encoded message or a read result on its way to a process.
type delivery struct {
	to          *process
	from        netip.AddrPort
	encoded     []byte
	read        *currantturn.ReadResult
	incarnation int // of the process when the read started
}

// fleet simulates processes, their network and the platform in discrete steps.
type fleet struct {
	now                 time.Time
	step                int
	r                   *rand.Rand
	all                 []*process
	byAddr              map[netip.AddrPort]*process
	inTransit           [ringSteps][]delivery // by the step of arrival, modulo ringSteps
	platform            platform
	partitioned         func(a, b *process) bool // whether messages between a and b are lost; nil for none
	cannotReachPlatform func(p *process) bool    // whether p cannot reach the platform; nil for none
	base                *patch.Configuration     // configuration at position 1
	loss                float64                  // probability that a message is lost
	seeds               bool                     // start processes with seed peers
	decoded             map[string]*patch.Configuration
	out                 currantturn.Effects
	violations          []string // violated invariants, the first ten
	messagesSent        map[currantturn.Kind]int
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// newFleet returns n configured processes that are not yet started; about a
// twelfth are balancers.
func newFleet(seed uint64, n int) *fleet {
	f := &fleet{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), r: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[netip.AddrPort]*process{}, decoded: map[string]*patch.Configuration{},
		messagesSent: map[currantturn.Kind]int{},
	}
	f.platform.shownRecords = -1
	f.platform.config = &patch.Configuration{}
	balancers := max(1, n*850/10_450)
	var services []currantturn.Service
	for i := range n {
		p := &process{addr: address(i + 1), domain: f.r.IntN(len(domains)), index: i, events: map[int]int{}}
		f.all = append(f.all, p)
		f.byAddr[p.addr] = p
		if i < balancers {
			f.platform.vms = append(f.platform.vms, currantturn.VM{
				Name: currantturn.VMName(fmt.Sprint("vm-", i)), Role: currantturn.RoleBalancer,
				FailureDomain: domains[p.domain], Link: p.addr, State: currantturn.VMLive,
			})
			continue
		}
		if (i-balancers)%100 == 0 {
			k := len(services)
			services = append(services, currantturn.Service{
				Name: currantturn.ServiceName(fmt.Sprintf("s-%03d", k)), Limits: patch.DefaultLimits,
				Addresses: []netip.AddrPort{netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(k)}), 443)},
			})
		}
		s := &services[len(services)-1]
		s.Backends = append(s.Backends, currantturn.BackendServer{
			ID: currantturn.BackendID(fmt.Sprintf("b-%05d", i)), FailureDomain: domains[p.domain],
			Agent: p.addr, Stream: netip.AddrPortFrom(p.addr.Addr(), 7001), Slots: 3, Weight: 1,
			State: currantturn.BackendActive,
		})
	}
	f.platform.records = []currantturn.Record{{Position: 1, Patch: []byte("{}")}}
	f.platform.config = &patch.Configuration{Position: 1, Version: 1, Services: services}
	f.platform.config.Digest = patch.Digest{}.Chain(&f.platform.records[0])
	f.base = f.platform.config
	f.publishSnapshot()
	f.platform.oldestSnapshot = f.platform.snapshot
	return f
}

// decode decodes each snapshot once for all processes, to save time and memory.
func (f *fleet) decode(p []byte) (*patch.Configuration, error) {
	if c := f.decoded[string(p)]; c != nil {
		return c, nil
	}
	c, err := configuration.DecodeSnapshot(p)
	f.decoded[string(p)] = c
	return c, err
}

// start starts or restarts a process with a new machine.
func (f *fleet) start(p *process) {
	opts := gossip.Options{
		Self: p.addr, Domain: domains[p.domain], FleetSize: len(f.all), Decode: f.decode,
		Random: rand.New(rand.NewPCG(f.r.Uint64(), 2)),
	}
	if f.seeds {
		opts.Seeds = []netip.AddrPort{f.all[0].addr, f.all[len(f.all)/2].addr, f.all[len(f.all)-1].addr}
	}
	p.m = gossip.New(opts)
	p.incarnation++
	p.view = nil
	p.highestDigest = 0
	p.pauseSteps = 0
}

func (f *fleet) startAll() {
	for _, p := range f.all {
		f.start(p)
	}
}

// run simulates a period.
func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		f.advance()
	}
}

// runUntil runs until the condition holds, for at most d, and reports whether it
// holds.
func (f *fleet) runUntil(d time.Duration, done func() bool) bool {
	for i := range int(d / step) {
		if i%tickSteps == 0 && done() {
			return true
		}
		f.advance()
	}
	return done()
}

// advance simulates one step.
func (f *fleet) advance() {
	f.step++
	f.now = f.now.Add(step)
	if f.step%stepsInSecond == 0 {
		f.endSecond()
	}
	f.completeWatches()
	slot := f.step % ringSteps
	due := f.inTransit[slot]
	f.inTransit[slot] = nil
	for i := range due {
		f.deliver(&due[i])
	}
	for i := f.step % tickSteps; i < len(f.all); i += tickSteps {
		p := f.all[i]
		if p.m != nil && p.pauseSteps <= 0 {
			p.m.Tick(f.now, &f.out)
			f.applyEffects(p)
		}
		p.pauseSteps -= tickSteps
	}
}

// endSecond updates the maxima per second and resets the current second.
func (f *fleet) endSecond() {
	f.platform.maxReadsPerSecond = max(f.platform.maxReadsPerSecond, f.platform.readsThisSecond)
	f.platform.readsThisSecond = 0
	for _, p := range f.all {
		p.maxBytes = max(p.maxBytes, p.bytesThisSecond)
		p.bytesThisSecond = 0
	}
}

// deliver passes a message or read result to its process. A read result that
// belongs to an earlier start of the process is dropped.
func (f *fleet) deliver(d *delivery) {
	p := d.to
	if p.m == nil || p.incarnation != d.incarnation && d.read != nil {
		return
	}
	if p.pauseSteps > 0 { // a datagram waits in the socket buffer
		f.enqueue(1, *d)
		return
	}
	if d.read != nil {
		p.m.ReadCompleted(f.now, d.read, &f.out)
	} else {
		m, err := message.Decode(d.encoded)
		if err != nil {
			panic(err)
		}
		if d, ok := m.(gossip.Digest); ok && d.Position >= p.highestDigest {
			p.highestDigest, p.highestDigestAt = d.Position, f.now
		}
		p.m.Handle(f.now, d.from, m, &f.out)
	}
	f.applyEffects(p)
}

// enqueue schedules a delivery after a number of steps.
func (f *fleet) enqueue(steps int, d delivery) {
	slot := (f.step + steps) % ringSteps
	f.inTransit[slot] = append(f.inTransit[slot], d)
}

// applyEffects carries out the effects of a call to p and checks the invariants.
func (f *fleet) applyEffects(p *process) {
	for _, s := range f.out.Sends {
		f.send(p, s)
	}
	for _, r := range f.out.Reads {
		f.read(p, r)
	}
	for _, e := range f.out.Events {
		if err := event.Check(e); err != nil {
			f.addViolation("%v", err)
		}
		p.events[e.Number]++
	}
	if len(f.out.InForce) > 0 {
		f.inForce(p, f.out.InForce)
	}
	f.out.Reset()
}

// send delivers a message unless it is lost, and counts its bytes.
func (f *fleet) send(p *process, s currantturn.Send) {
	b, err := message.Encode(s.Message)
	if err != nil {
		f.addViolation("%v", err)
		return
	}
	f.messagesSent[s.Message.Kind()]++
	p.bytesThisSecond += len(b) + gossip.DatagramOverheadBytes
	p.totalBytes += len(b) + gossip.DatagramOverheadBytes
	to := f.byAddr[s.To]
	if to == nil || (f.partitioned != nil && f.partitioned(p, to)) || f.r.Float64() < f.loss {
		return
	}
	steps := 1
	if p.domain < 3 != (to.domain < 3) {
		steps = interRegionSteps
	}
	f.enqueue(steps, delivery{to: to, from: p.addr, encoded: b})
}

// inForce checks and stores the views that a process put in force.
func (f *fleet) inForce(p *process, views []*currantturn.View) {
	c := p.m.Log().Current()
	if p.view == nil && c.Position < p.highestDigest && f.now.Sub(p.highestDigestAt) < 30*time.Second {
		f.addViolation("process %d became ready at position %d, but had received position %d from a peer", p.index, c.Position, p.highestDigest)
	}
	for _, v := range views {
		if p.view != nil && v.Version <= p.view.Version {
			f.addViolation("process %d went from version %d to version %d", p.index, p.view.Version, v.Version)
		}
		p.view = v
	}
	p.inForceAt = f.now
	if c.Version != p.view.Version {
		f.addViolation("process %d put version %d in force, but its log is at version %d", p.index, p.view.Version, c.Version)
	}
	if c.Digest != f.digestAt(c.Position) {
		f.addViolation("process %d differs from the published digest at position %d", p.index, c.Position)
	}
}

// digestAt computes the chain digest of the published log at a position.
func (f *fleet) digestAt(position uint64) patch.Digest {
	if position == f.platform.config.Position {
		return f.platform.config.Digest
	}
	var d patch.Digest
	if position > uint64(len(f.platform.records)) {
		return d
	}
	for i := range f.platform.records[:position] {
		d = d.Chain(&f.platform.records[i])
	}
	return d
}

// addViolation records a violated invariant.
func (f *fleet) addViolation(format string, args ...any) {
	if len(f.violations) < 10 {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

// converged reports whether every started process is ready and has the published
// version in force.
func (f *fleet) converged() bool {
	for _, p := range f.all {
		if p.m != nil && (p.view == nil || p.view.Version != f.platform.config.Version || !p.m.Ready()) {
			return false
		}
	}
	return true
}
