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
	step          = 5 * time.Millisecond // of the loop, and the delay within a region
	regionSteps   = 8                    // delay between regions
	readSteps     = 2                    // delay of a read
	ringSteps     = 64
	tickSteps     = int(currantturn.TickEvery / step)
	stepsInSecond = int(time.Second / step)
)

var domains = []currantturn.FailureDomain{"kivukoni", "upanga", "kurasini", "hall-a", "hall-b"}

// process is one machine of the loop and what was seen of it.
type process struct {
	m        *gossip.Machine
	addr     netip.AddrPort
	domain   int
	index    int
	pause    int // steps to go
	lives    int
	view     *currantturn.View
	at       time.Time // when the last view came in force
	heard    uint64    // highest position that a peer told of in this life
	heardAt  time.Time
	bytes    int // sent in this second
	maxBytes int
	sum      int
	events   map[int]int
}

type delivery struct {
	to   *process
	from netip.AddrPort
	p    []byte
	read *currantturn.ReadResult
	life int
}

// fleet is a loop over the machines with modelled delay.
type fleet struct {
	now      time.Time
	step     int
	r        *rand.Rand
	all      []*process
	byAddr   map[netip.AddrPort]*process
	ring     [ringSteps][]delivery
	platform platform
	cut      func(a, b *process) bool
	blind    func(p *process) bool // cannot reach the platform
	base     *patch.Configuration
	loss     float64
	seeds    bool
	decoded  map[string]*patch.Configuration
	out      currantturn.Effects
	faults   []string
	messages map[currantturn.Kind]int
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// newFleet configures n processes, a twelfth of them balancers.
func newFleet(seed uint64, n int) *fleet {
	f := &fleet{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), r: rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[netip.AddrPort]*process{}, decoded: map[string]*patch.Configuration{},
		messages: map[currantturn.Kind]int{},
	}
	f.platform.shown = -1
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
	f.platform.first = f.platform.snapshot
	return f
}

// decode shares the decoded snapshot between the processes of the loop.
func (f *fleet) decode(p []byte) (*patch.Configuration, error) {
	if c := f.decoded[string(p)]; c != nil {
		return c, nil
	}
	c, err := configuration.DecodeSnapshot(p)
	f.decoded[string(p)] = c
	return c, err
}

func (f *fleet) start(p *process) {
	opts := gossip.Options{
		Self: p.addr, Domain: domains[p.domain], FleetSize: len(f.all), Decode: f.decode,
		Random: rand.New(rand.NewPCG(f.r.Uint64(), 2)),
	}
	if f.seeds {
		opts.Seeds = []netip.AddrPort{f.all[0].addr, f.all[len(f.all)/2].addr, f.all[len(f.all)-1].addr}
	}
	p.m = gossip.New(opts)
	p.lives++
	p.view = nil
	p.heard = 0
	p.pause = 0
}

func (f *fleet) startAll() {
	for _, p := range f.all {
		f.start(p)
	}
}

func (f *fleet) run(d time.Duration) {
	for range int(d / step) {
		f.advance()
	}
}

// until runs until the condition holds, at most for d, and returns whether it does.
func (f *fleet) until(d time.Duration, done func() bool) bool {
	for i := range int(d / step) {
		if i%tickSteps == 0 && done() {
			return true
		}
		f.advance()
	}
	return done()
}

func (f *fleet) advance() {
	f.step++
	f.now = f.now.Add(step)
	if f.step%stepsInSecond == 0 {
		f.second()
	}
	f.answerWatches()
	slot := f.step % ringSteps
	due := f.ring[slot]
	f.ring[slot] = nil
	for i := range due {
		f.deliver(&due[i])
	}
	for i := f.step % tickSteps; i < len(f.all); i += tickSteps {
		p := f.all[i]
		if p.m != nil && p.pause <= 0 {
			p.m.Tick(f.now, &f.out)
			f.carry(p)
		}
		p.pause -= tickSteps
	}
}

func (f *fleet) second() {
	f.platform.maxReads = max(f.platform.maxReads, f.platform.reads)
	f.platform.reads = 0
	for _, p := range f.all {
		p.maxBytes = max(p.maxBytes, p.bytes)
		p.bytes = 0
	}
}

func (f *fleet) deliver(d *delivery) {
	p := d.to
	if p.m == nil || p.lives != d.life && d.read != nil {
		return
	}
	if p.pause > 0 { // the datagram waits in the socket
		f.enqueue(1, *d)
		return
	}
	if d.read != nil {
		p.m.Completed(f.now, d.read, &f.out)
	} else {
		m, err := message.Decode(d.p)
		if err != nil {
			panic(err)
		}
		if d, ok := m.(gossip.Digest); ok && d.Position >= p.heard {
			p.heard, p.heardAt = d.Position, f.now
		}
		p.m.Handle(f.now, d.from, m, &f.out)
	}
	f.carry(p)
}

func (f *fleet) enqueue(steps int, d delivery) {
	slot := (f.step + steps) % ringSteps
	f.ring[slot] = append(f.ring[slot], d)
}

// carry carries out the effects and checks what must always hold.
func (f *fleet) carry(p *process) {
	for _, s := range f.out.Sends {
		f.send(p, s)
	}
	for _, r := range f.out.Reads {
		f.read(p, r)
	}
	for _, e := range f.out.Events {
		if err := event.Check(e); err != nil {
			f.fault("%v", err)
		}
		p.events[e.Number]++
	}
	if len(f.out.InForce) > 0 {
		f.inForce(p, f.out.InForce)
	}
	f.out.Reset()
}

func (f *fleet) send(p *process, s currantturn.Send) {
	b, err := message.Encode(s.Message)
	if err != nil {
		f.fault("%v", err)
		return
	}
	f.messages[s.Message.Kind()]++
	p.bytes += len(b) + gossip.DatagramOverheadBytes
	p.sum += len(b) + gossip.DatagramOverheadBytes
	to := f.byAddr[s.To]
	if to == nil || (f.cut != nil && f.cut(p, to)) || f.r.Float64() < f.loss {
		return
	}
	steps := 1
	if p.domain < 3 != (to.domain < 3) {
		steps = regionSteps
	}
	f.enqueue(steps, delivery{to: to, from: p.addr, p: b})
}

func (f *fleet) inForce(p *process, views []*currantturn.View) {
	c := p.m.Log().Current()
	if p.view == nil && c.Position < p.heard && f.now.Sub(p.heardAt) < 30*time.Second {
		f.fault("process %d is ready at position %d, heard %d", p.index, c.Position, p.heard)
	}
	for _, v := range views {
		if p.view != nil && v.Version <= p.view.Version {
			f.fault("process %d went from version %d to %d", p.index, p.view.Version, v.Version)
		}
		p.view = v
	}
	p.at = f.now
	if c.Version != p.view.Version {
		f.fault("process %d put version %d in force at version %d", p.index, p.view.Version, c.Version)
	}
	if c.Digest != f.chain(c.Position) {
		f.fault("process %d has another digest at position %d", p.index, c.Position)
	}
}

// chain re-reads the published log up to a position.
func (f *fleet) chain(position uint64) patch.Digest {
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

func (f *fleet) fault(format string, args ...any) {
	if len(f.faults) < 10 {
		f.faults = append(f.faults, fmt.Sprintf(format, args...))
	}
}

// converged says whether every process has the published version in force.
func (f *fleet) converged() bool {
	for _, p := range f.all {
		if p.m != nil && (p.view == nil || p.view.Version != f.platform.config.Version || !p.m.Ready()) {
			return false
		}
	}
	return true
}
