package claim_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/state/record"
)

// module is what a schedule drives: Claims or the naive version.
type module interface {
	currantturn.Machine
	Begin(now time.Time, k request.Key, d request.Digest, deadline time.Time, closing bool,
		decided func(claim.Verdict), out *currantturn.Effects) uint64
	Start(now time.Time, attempt uint64, out *currantturn.Effects) bool
	Done(now time.Time, attempt uint64, s claim.State, a *request.Answer, out *currantturn.Effects)
	Cancel(now time.Time, attempt uint64, out *currantturn.Effects)
}

const (
	skew      = time.Second
	retention = 20 * time.Second
	lasts     = 40 * time.Second
)

// fault is one thing that goes wrong, at a time or when a step is first seen.
type fault struct {
	Kind   string // pause, restart, partition, configure
	On     string // time, grant, run
	At     time.Duration
	For    time.Duration
	Target int // process, or bit mask of a partition's side, or set of members
}

// schedule is what one randomised run draws.
type schedule struct {
	Seed      uint64
	Loss, Dup float64
	Delay     time.Duration
	Keys      int
	SmallBy   int // store of this many records a shard; 0 is plenty
	Faults    []fault
}

type process struct {
	module  module
	address netip.AddrPort
	offset  time.Duration // of its clock, fixed for one life
	starts  uint64
	paused  time.Duration // until
	version int
	live    map[uint64]*attempt
}

// attempt is one request of a caller at one process.
type attempt struct {
	key  int
	at   *process
	id   uint64
	call int64
	done bool
	last time.Time // its deadline
}

type cluster struct {
	schedule
	make      func(claim.Options) module
	rng       *rand.Rand
	queue     queue
	seq       int64
	now       time.Duration
	processes []*process
	views     []*currantturn.View
	cut       int // bit mask of one side of the partition
	cutUntil  time.Duration
	keys      []request.Key
	runs      []int
	history   [][]porcupine.Operation
	fired     []bool
	outcomes  map[claim.State]int
	foreign   int
	broken    bool // an invariant of the program itself
	late      int  // runs begun past their deadline
}

var epoch = time.UnixMilli(1_790_000_000_000)

type scheduled struct {
	at  time.Duration
	seq int64
	do  func()
}

type queue []scheduled

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduled)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newCluster(s schedule, m func(claim.Options) module) *cluster {
	c := &cluster{
		schedule: s, make: m, rng: rand.New(rand.NewPCG(s.Seed, 1)),
		fired: make([]bool, len(s.Faults)), outcomes: map[claim.State]int{},
		runs: make([]int, s.Keys), history: make([][]porcupine.Operation, s.Keys),
	}
	const members = 5
	for i := range members {
		p := &process{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))}
		c.processes = append(c.processes, p)
	}
	c.views = []*currantturn.View{c.view(1, 0b00111)}
	for _, p := range c.processes {
		c.boot(p, 0)
	}
	return c
}

func (c *cluster) view(version, members int) *currantturn.View {
	s := currantturn.Service{Name: "verify"}
	for i, p := range c.processes {
		if members>>i&1 == 1 {
			id := currantturn.BackendID(fmt.Sprint("verify-", i))
			s.Backends = append(s.Backends, currantturn.BackendServer{ID: id, Agent: p.address, Weight: 1})
		}
	}
	return currantturn.NewView(currantturn.Version(version), []currantturn.Service{s})
}

// boot starts a process, which reads the log up to a version that may be stale.
func (c *cluster) boot(p *process, version int) {
	p.starts++
	p.offset = c.between(0, skew)
	p.live = map[uint64]*attempt{}
	bytes := record.DefaultBytes
	if c.SmallBy > 0 {
		bytes = record.Shards * c.SmallBy * (record.EntryBytes + request.MaxInlineBytes)
	}
	p.module = c.make(claim.Options{
		Service: "verify", Self: p.address, Incarnation: p.starts, Started: c.clock(p), Key: rank.Key{K0: 7},
		Retention: retention, Bytes: bytes, ClockSkew: skew,
	})
	for v := 0; v <= version; v++ {
		c.configure(p, v)
	}
	life := p.starts
	var tick func()
	tick = func() {
		if p.starts != life {
			return
		}
		c.call(p, func(now time.Time, out *currantturn.Effects) { p.module.Tick(now, out) })
		c.after(4*currantturn.TickEvery, p, tick)
	}
	c.after(0, p, tick)
}

func (c *cluster) configure(p *process, v int) {
	p.version = v
	c.call(p, func(now time.Time, out *currantturn.Effects) { p.module.Configure(now, c.views[v], out) })
}

func (c *cluster) clock(p *process) time.Time { return epoch.Add(c.now + p.offset) }

func (c *cluster) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)+1))
}

// at schedules f; for a process it waits until the process is not paused.
func (c *cluster) after(d time.Duration, p *process, f func()) {
	c.seq++
	heap.Push(&c.queue, scheduled{at: c.now + d, seq: c.seq, do: func() {
		if p != nil && p.paused > c.now {
			c.after(p.paused-c.now, p, f)
			return
		}
		f()
	}})
}

func (c *cluster) call(p *process, f func(time.Time, *currantturn.Effects)) {
	var out currantturn.Effects
	f(c.clock(p), &out)
	for _, e := range out.Events {
		c.broken = c.broken || e.Number == event.InvariantViolated
	}
	for _, s := range out.Sends {
		c.send(p, s)
	}
}

func (c *cluster) send(from *process, s currantturn.Send) {
	copies := 1
	if c.rng.Float64() < c.Dup {
		copies = 2
	}
	for range copies {
		if c.rng.Float64() < c.Loss {
			continue
		}
		d := c.between(time.Millisecond, c.Delay)
		if c.rng.IntN(50) == 0 {
			d += c.between(0, 8*time.Second)
		}
		c.after(d, nil, func() { c.arrive(from, s) })
	}
}

func (c *cluster) arrive(from *process, s currantturn.Send) {
	for i, p := range c.processes {
		if p.address != s.To {
			continue
		}
		if c.now < c.cutUntil && c.cut>>i&1 != c.cut>>int(from.address.Port()-1000)&1 {
			return
		}
		c.after(0, p, func() {
			c.call(p, func(now time.Time, out *currantturn.Effects) { p.module.Handle(now, from.address, s.Message, out) })
		})
	}
}

// run plays the schedule and returns the history of each key.
func (c *cluster) run() {
	for i := range c.Keys {
		c.keys = append(c.keys, request.Key{})
		issue := c.between(0, lasts*2/3)
		c.after(issue, nil, func() {
			var random [10]byte
			for j := range random {
				random[j] = byte(c.rng.Uint32())
			}
			c.keys[i] = request.NewKey(epoch.Add(c.now+c.between(-skew, 4*skew)), random)
			c.try(i, 2+c.rng.IntN(3))
			if c.rng.IntN(2) == 0 {
				c.try(i, 1) // the same key at two processes at once
			}
		})
	}
	for i, f := range c.Faults {
		if f.On == "time" {
			c.after(f.At, nil, func() { c.fire(i, nil) })
		}
	}
	for len(c.queue) > 0 && c.now < lasts {
		x := heap.Pop(&c.queue).(scheduled)
		c.now = x.at
		x.do()
	}
}

// try sends a key to some process, and repeats it later.
func (c *cluster) try(key, left int) {
	if left == 0 {
		return
	}
	p := c.processes[c.rng.IntN(len(c.processes))]
	c.after(0, p, func() { c.open(key, p) })
	again := lasts / 8
	if c.rng.IntN(4) == 0 {
		again = lasts // past the retention
	}
	c.after(c.between(0, again), nil, func() { c.try(key, left-1) })
}

func (c *cluster) open(key int, p *process) {
	c.seq++
	a := &attempt{key: key, at: p, call: c.seq}
	a.last = c.clock(p).Add(c.between(100*time.Millisecond, 10*time.Second))
	c.call(p, func(now time.Time, out *currantturn.Effects) {
		a.id = p.module.Begin(now, c.keys[key], request.Digest{byte(key)}, a.last, c.rng.IntN(8) == 0,
			func(v claim.Verdict) { c.after(0, nil, func() { c.decided(a, v) }) }, out)
	})
	p.live[a.id] = a
	if c.rng.IntN(10) == 0 {
		life := p.starts
		c.after(c.between(0, time.Second), p, func() {
			if p.starts == life {
				c.call(p, func(now time.Time, out *currantturn.Effects) { p.module.Cancel(now, a.id, out) })
			}
		})
	}
}

func (c *cluster) decided(a *attempt, v claim.Verdict) {
	p := a.at
	if p.live[a.id] != a {
		return // the process has restarted; the caller saw its connection break
	}
	if v.State != claim.Granted {
		c.end(a, v.State, v.Answer)
		return
	}
	c.trigger("grant", p)
	life := p.starts
	c.after(c.between(0, 20*time.Millisecond), p, func() {
		if p.starts == life {
			c.handOver(a)
		}
	})
}

func (c *cluster) handOver(a *attempt) {
	p := a.at
	ok := false
	c.call(p, func(now time.Time, out *currantturn.Effects) { ok = p.module.Start(now, a.id, out) })
	if !ok {
		c.end(a, claim.NotRun, nil)
		return
	}
	c.runs[a.key]++
	if !c.clock(p).Before(a.last) {
		c.late++
	}
	c.seq++
	c.note(a.key, operation{run: true}, c.seq, c.seq)
	c.trigger("run", p)
	answer := &request.Answer{Status: 200, Kept: true, Body: []byte(c.keys[a.key].String())}
	life := p.starts
	c.after(c.between(0, 3*time.Second), p, func() {
		if p.starts != life {
			return
		}
		c.call(p, func(now time.Time, out *currantturn.Effects) { p.module.Done(now, a.id, claim.Answered, answer, out) })
		c.end(a, claim.Answered, answer)
	})
}

// end tells the caller an outcome.
func (c *cluster) end(a *attempt, s claim.State, answer *request.Answer) {
	if a.done {
		panic("a request was answered twice")
	}
	a.done = true
	c.outcomes[s]++
	if s == claim.Answered && string(answer.Body) != c.keys[a.key].String() {
		c.foreign++
	}
	c.seq++
	c.note(a.key, operation{outcome: s}, a.call, c.seq)
}

func (c *cluster) note(key int, o operation, call, end int64) {
	c.history[key] = append(c.history[key], porcupine.Operation{Input: o, Call: call, Return: end})
}

func (c *cluster) trigger(on string, p *process) {
	for i, f := range c.Faults {
		if f.On == on && !c.fired[i] && c.now >= f.At {
			c.fire(i, p)
			return
		}
	}
}

// fire causes a fault, at the process that triggered it or at its target.
func (c *cluster) fire(i int, p *process) {
	c.fired[i] = true
	f := c.Faults[i]
	if p == nil {
		p = c.processes[f.Target%len(c.processes)]
	}
	switch f.Kind {
	case "pause":
		p.paused = c.now + f.For
	case "restart":
		version := c.rng.IntN(p.version + 1)
		if c.rng.IntN(2) == 0 {
			version = p.version
		}
		c.after(0, nil, func() { p.live = nil; c.boot(p, version) })
	case "partition":
		c.cut, c.cutUntil = f.Target, c.now+f.For
	case "configure":
		c.views = append(c.views, c.view(len(c.views)+1, 1+f.Target%31))
		v := len(c.views) - 1
		for _, q := range c.processes {
			c.after(c.between(0, f.For), q, func() { c.learn(q, v) })
		}
	}
}

// learn reads the log up to a version, in order.
func (c *cluster) learn(p *process, v int) {
	for p.version < v {
		c.configure(p, p.version+1)
	}
}
