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

// module is the implementation under test: Claims or a naive design.
type module interface {
	currantturn.Machine
	Begin(now time.Time, k request.Key, d request.Digest, deadline time.Time, closing bool,
		onVerdict func(claim.Verdict), out *currantturn.Effects) uint64
	Start(now time.Time, attempt uint64, out *currantturn.Effects) bool
	Done(now time.Time, attempt uint64, s claim.State, a *request.Answer, out *currantturn.Effects)
	Cancel(now time.Time, attempt uint64, out *currantturn.Effects)
}

const (
	skew           = time.Second
	retention      = 20 * time.Second
	simulationTime = 40 * time.Second // of one schedule
)

// fault is injected either at a time or when an attempt first reaches a step
// after it.
type fault struct {
	Kind   string // pause, restart, partition, configure
	On     string // time, or the step that triggers it: grant, run
	At     time.Duration
	For    time.Duration // duration; configure: maximum delay until a process applies it
	Target int           // process, or bit mask of one side of the partition or of the members
}

// schedule holds the random parameters of one simulation.
type schedule struct {
	Seed      uint64
	Loss, Dup float64       // probabilities per message
	Delay     time.Duration // maximum of most messages
	Keys      int
	SmallBy   int // limits the store to this many records per shard; 0 selects the default size
	Faults    []fault
}

// process is one simulated process.
type process struct {
	module      module
	address     netip.AddrPort
	clockOffset time.Duration // of its clock from the simulated time; changes at a restart
	incarnation uint64
	pausedUntil time.Duration
	version     int
	attempts    map[uint64]*attempt
}

// attempt is one attempt of a caller to run a key at one process.
type attempt struct {
	key      int
	process  *process
	id       uint64
	beginSeq int64
	ended    bool
	deadline time.Time
}

// cluster simulates processes that exchange messages over a faulty network, in
// simulated time.
type cluster struct {
	schedule
	make              func(claim.Options) module
	rng               *rand.Rand
	queue             queue
	seq               int64
	now               time.Duration
	processes         []*process
	views             []*currantturn.View
	partitionMask     int // bit mask of the processes on one side
	partitionEnd      time.Duration
	keys              []request.Key
	runs              []int
	history           [][]porcupine.Operation
	injected          []bool
	outcomes          map[claim.State]int
	foreignAnswers    int
	invariantViolated bool // a module emitted InvariantViolated
	lateRuns          int  // runs started past their deadline
}

var epoch = time.UnixMilli(1_790_000_000_000)

// scheduledCall is a function to run at a simulated time; seq orders equal times.
type scheduledCall struct {
	at  time.Duration
	seq int64
	run func()
}

// queue is a heap of calls, ordered by time.
type queue []scheduledCall

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func newCluster(s schedule, newModule func(claim.Options) module) *cluster {
	c := &cluster{
		schedule: s, make: newModule, rng: rand.New(rand.NewPCG(s.Seed, 1)),
		injected: make([]bool, len(s.Faults)), outcomes: map[claim.State]int{},
		runs: make([]int, s.Keys), history: make([][]porcupine.Operation, s.Keys),
	}
	const members = 5
	for i := range members {
		p := &process{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))}
		c.processes = append(c.processes, p)
	}
	c.views = []*currantturn.View{c.view(1, 0b00111)}
	for _, p := range c.processes {
		c.startProcess(p, 0)
	}
	return c
}

// view returns a configuration whose members are given by a bit mask.
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

// startProcess starts or restarts a process with all configurations up to a
// version, which may be stale.
func (c *cluster) startProcess(p *process, version int) {
	p.incarnation++
	p.clockOffset = c.randomDuration(0, skew)
	p.attempts = map[uint64]*attempt{}
	bytes := record.DefaultBytes
	if c.SmallBy > 0 {
		bytes = record.Shards * c.SmallBy * (record.EntryBytes + request.MaxInlineBytes)
	}
	p.module = c.make(claim.Options{
		Service: "verify", Self: p.address, Incarnation: p.incarnation, Started: c.clock(p), Key: rank.Key{K0: 7},
		Retention: retention, Bytes: bytes, ClockSkew: skew,
	})
	for v := 0; v <= version; v++ {
		c.configure(p, v)
	}
	incarnation := p.incarnation
	var tick func()
	tick = func() {
		if p.incarnation != incarnation {
			return
		}
		c.callModule(p, func(now time.Time, out *currantturn.Effects) { p.module.Tick(now, out) })
		c.after(4*currantturn.TickInterval, p, tick)
	}
	c.after(0, p, tick)
}

func (c *cluster) configure(p *process, v int) {
	p.version = v
	c.callModule(p, func(now time.Time, out *currantturn.Effects) { p.module.Configure(now, c.views[v], out) })
}

func (c *cluster) clock(p *process) time.Time { return epoch.Add(c.now + p.clockOffset) }

func (c *cluster) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)+1))
}

// after schedules f after the delay d; if p is not nil, f waits until p is not
// paused.
func (c *cluster) after(d time.Duration, p *process, f func()) {
	c.seq++
	heap.Push(&c.queue, scheduledCall{at: c.now + d, seq: c.seq, run: func() {
		if p != nil && p.pausedUntil > c.now {
			c.after(p.pausedUntil-c.now, p, f)
			return
		}
		f()
	}})
}

// callModule runs f with the clock of p, then sends the messages that f emitted.
func (c *cluster) callModule(p *process, f func(time.Time, *currantturn.Effects)) {
	var out currantturn.Effects
	f(c.clock(p), &out)
	for _, e := range out.Events {
		c.invariantViolated = c.invariantViolated || e.Number == event.InvariantViolated
	}
	for _, s := range out.Sends {
		c.send(p, s)
	}
}

// send delivers a message after a random delay, possibly twice or not at all.
// One in 50 messages is delayed by up to 8 s more.
func (c *cluster) send(from *process, s currantturn.Send) {
	copies := 1
	if c.rng.Float64() < c.Dup {
		copies = 2
	}
	for range copies {
		if c.rng.Float64() < c.Loss {
			continue
		}
		d := c.randomDuration(time.Millisecond, c.Delay)
		if c.rng.IntN(50) == 0 {
			d += c.randomDuration(0, 8*time.Second)
		}
		c.after(d, nil, func() { c.deliver(from, s) })
	}
}

// deliver passes a message to its receiver unless a partition separates them.
func (c *cluster) deliver(from *process, s currantturn.Send) {
	for i, p := range c.processes {
		if p.address != s.To {
			continue
		}
		if c.now < c.partitionEnd && c.partitionMask>>i&1 != c.partitionMask>>int(from.address.Port()-1000)&1 {
			return
		}
		c.after(0, p, func() {
			c.callModule(p, func(now time.Time, out *currantturn.Effects) { p.module.Handle(now, from.address, s.Message, out) })
		})
	}
}

// run simulates the schedule and records the history of each key.
func (c *cluster) run() {
	for i := range c.Keys {
		c.keys = append(c.keys, request.Key{})
		issueDelay := c.randomDuration(0, simulationTime*2/3)
		c.after(issueDelay, nil, func() {
			var random [10]byte
			for j := range random {
				random[j] = byte(c.rng.Uint32())
			}
			c.keys[i] = request.NewKey(epoch.Add(c.now+c.randomDuration(-skew, 4*skew)), random)
			c.sendKey(i, 2+c.rng.IntN(3))
			if c.rng.IntN(2) == 0 {
				c.sendKey(i, 1) // concurrent attempts with the same key
			}
		})
	}
	for i, f := range c.Faults {
		if f.On == "time" {
			c.after(f.At, nil, func() { c.injectFault(i, nil) })
		}
	}
	for len(c.queue) > 0 && c.now < simulationTime {
		x := heap.Pop(&c.queue).(scheduledCall)
		c.now = x.at
		x.run()
	}
}

// sendKey begins an attempt at a random process, and further ones later.
func (c *cluster) sendKey(key, attemptsLeft int) {
	if attemptsLeft == 0 {
		return
	}
	p := c.processes[c.rng.IntN(len(c.processes))]
	c.after(0, p, func() { c.beginAttempt(key, p) })
	maxDelay := simulationTime / 8
	if c.rng.IntN(4) == 0 {
		maxDelay = simulationTime // the next attempt may come after the retention
	}
	c.after(c.randomDuration(0, maxDelay), nil, func() { c.sendKey(key, attemptsLeft-1) })
}

// beginAttempt begins an attempt with a random deadline; one in eight closes the
// key and one in ten is cancelled within a second.
func (c *cluster) beginAttempt(key int, p *process) {
	c.seq++
	a := &attempt{key: key, process: p, beginSeq: c.seq}
	a.deadline = c.clock(p).Add(c.randomDuration(100*time.Millisecond, 10*time.Second))
	c.callModule(p, func(now time.Time, out *currantturn.Effects) {
		a.id = p.module.Begin(now, c.keys[key], request.Digest{byte(key)}, a.deadline, c.rng.IntN(8) == 0,
			func(v claim.Verdict) { c.after(0, nil, func() { c.handleVerdict(a, v) }) }, out)
	})
	p.attempts[a.id] = a
	if c.rng.IntN(10) == 0 {
		incarnation := p.incarnation
		c.after(c.randomDuration(0, time.Second), p, func() {
			if p.incarnation == incarnation {
				c.callModule(p, func(now time.Time, out *currantturn.Effects) { p.module.Cancel(now, a.id, out) })
			}
		})
	}
}

// handleVerdict starts a granted attempt after a short delay, and ends any other.
func (c *cluster) handleVerdict(a *attempt, v claim.Verdict) {
	p := a.process
	if p.attempts[a.id] != a {
		return // the process has restarted, which broke the caller's connection
	}
	if v.State != claim.Granted {
		c.endAttempt(a, v.State, v.Answer)
		return
	}
	c.injectFaultOn("grant", p)
	incarnation := p.incarnation
	c.after(c.randomDuration(0, 20*time.Millisecond), p, func() {
		if p.incarnation == incarnation {
			c.handOver(a)
		}
	})
}

// handOver runs the request of a granted attempt if Start permits it.
func (c *cluster) handOver(a *attempt) {
	p := a.process
	ok := false
	c.callModule(p, func(now time.Time, out *currantturn.Effects) { ok = p.module.Start(now, a.id, out) })
	if !ok {
		c.endAttempt(a, claim.NotRun, nil)
		return
	}
	c.runs[a.key]++
	if !c.clock(p).Before(a.deadline) {
		c.lateRuns++
	}
	c.seq++
	c.addOperation(a.key, operation{run: true}, c.seq, c.seq)
	c.injectFaultOn("run", p)
	answer := &request.Answer{Status: 200, BodyKept: true, Body: []byte(c.keys[a.key].String())}
	incarnation := p.incarnation
	c.after(c.randomDuration(0, 3*time.Second), p, func() {
		if p.incarnation != incarnation {
			return
		}
		c.callModule(p, func(now time.Time, out *currantturn.Effects) { p.module.Done(now, a.id, claim.Answered, answer, out) })
		c.endAttempt(a, claim.Answered, answer)
	})
}

// endAttempt records the outcome that the caller receives.
func (c *cluster) endAttempt(a *attempt, s claim.State, answer *request.Answer) {
	if a.ended {
		panic("an attempt ended twice")
	}
	a.ended = true
	c.outcomes[s]++
	if s == claim.Answered && string(answer.Body) != c.keys[a.key].String() {
		c.foreignAnswers++
	}
	c.seq++
	c.addOperation(a.key, operation{outcome: s}, a.beginSeq, c.seq)
}

// addOperation appends an operation to the key's history.
func (c *cluster) addOperation(key int, o operation, call, end int64) {
	c.history[key] = append(c.history[key], porcupine.Operation{Input: o, Call: call, Return: end})
}

// injectFaultOn injects the first pending fault that waits for a step, if any.
func (c *cluster) injectFaultOn(step string, p *process) {
	for i, f := range c.Faults {
		if f.On == step && !c.injected[i] && c.now >= f.At {
			c.injectFault(i, p)
			return
		}
	}
}

// injectFault injects fault i at p, or at the fault's target if p is nil.
func (c *cluster) injectFault(i int, p *process) {
	c.injected[i] = true
	f := c.Faults[i]
	if p == nil {
		p = c.processes[f.Target%len(c.processes)]
	}
	switch f.Kind {
	case "pause":
		p.pausedUntil = c.now + f.For
	case "restart":
		version := c.rng.IntN(p.version + 1)
		if c.rng.IntN(2) == 0 {
			version = p.version
		}
		c.after(0, nil, func() { p.attempts = nil; c.startProcess(p, version) })
	case "partition":
		c.partitionMask, c.partitionEnd = f.Target, c.now+f.For
	case "configure":
		c.views = append(c.views, c.view(len(c.views)+1, 1+f.Target%31))
		v := len(c.views) - 1
		for _, q := range c.processes {
			c.after(c.randomDuration(0, f.For), q, func() { c.configureUpTo(q, v) })
		}
	}
}

// configureUpTo applies all configurations up to a version, in order.
func (c *cluster) configureUpTo(p *process, v int) {
	for p.version < v {
		c.configure(p, p.version+1)
	}
}
