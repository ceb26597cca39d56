package claim

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// Options are the identity and the bounds of a Claims machine.
type Options struct {
	Service     currantturn.ServiceName
	Self        netip.AddrPort // link address
	Incarnation uint64         // differs between two starts of a process
	Started     time.Time
	Key         rank.Key
	Retention   time.Duration
	Bytes       int
	ClockSkew   time.Duration
}

// Claims is the machine of one process: owner of some keys, runner of others.
type Claims struct {
	opts    Options
	history atomic.Pointer[history]
	silent  silence
	owner   *owner
	runner  *runner
}

// New returns a machine that holds no records.
func New(opts Options) *Claims {
	c := &Claims{opts: opts}
	c.history.Store(&history{})
	c.owner = newOwner(&c.opts, &c.history, &c.silent)
	c.runner = newRunner(&c.opts, &c.history, &c.silent)
	return c
}

// Configure puts a newer configuration in force. Earlier owners are derived
// from the versions given; where one is left out, keys issued before now are
// not granted here.
func (c *Claims) Configure(now time.Time, v *currantturn.View, _ *currantturn.Effects) {
	for {
		h := c.history.Load()
		if v.Version <= h.version || c.history.CompareAndSwap(h, h.next(now, v, c.opts.Service)) {
			return
		}
	}
}

// Gone tells that the process at a link address has ended for good, so that
// nothing is asked of it any more.
func (c *Claims) Gone(a netip.AddrPort) {
	for {
		h := c.history.Load()
		if c.history.CompareAndSwap(h, h.without(a)) {
			return
		}
	}
}

// Stop refuses every new key for good; those with a record go on. It is the
// first step of a planned stop.
func (c *Claims) Stop() {
	c.owner.stopped.Store(true)
}

// Suspect tells that the process at a link address should be asked nothing
// new until the given time, because it is leaving or silent.
func (c *Claims) Suspect(a netip.AddrPort, until time.Time) {
	c.silent.suspect(a, suspicion{until: until, told: true})
}

// Handle takes a message from a peer.
func (c *Claims) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	first := len(out.Sends)
	c.silent.hear(from)
	c.dispatch(now, from, m, out)
	c.loop(now, out, first)
}

// Tick repeats what was not answered.
func (c *Claims) Tick(now time.Time, out *currantturn.Effects) {
	first := len(out.Sends)
	c.runner.tick(now, out)
	c.loop(now, out, first)
}

// Begin asks for a grant of the key to run until the deadline. Decided gets
// Granted and later calls follow, or one final state. With closing set,
// nothing is granted and the key is closed unless it was granted before.
func (c *Claims) Begin(
	now time.Time, k request.Key, d request.Digest, deadline time.Time, closing bool,
	decided func(Verdict), out *currantturn.Effects,
) (attempt uint64) {
	first := len(out.Sends)
	attempt = c.runner.begin(now, k, d, deadline, closing, decided, out)
	c.loop(now, out, first)
	return attempt
}

// Start is asked just before a granted request goes to the backend server; it
// returns false when the request must not run any more.
func (c *Claims) Start(now time.Time, attempt uint64, out *currantturn.Effects) bool {
	first := len(out.Sends)
	ok := c.runner.start(now, attempt, out)
	c.loop(now, out, first)
	return ok
}

// Done tells how a started request ended: Answered, or Unknown.
func (c *Claims) Done(now time.Time, attempt uint64, s State, a *request.Answer, out *currantturn.Effects) {
	first := len(out.Sends)
	c.runner.done(now, attempt, s, a, out)
	c.loop(now, out, first)
}

// Cancel ends an attempt that has not started.
func (c *Claims) Cancel(now time.Time, attempt uint64, out *currantturn.Effects) {
	first := len(out.Sends)
	c.runner.cancel(now, attempt, out)
	c.loop(now, out, first)
}

func (c *Claims) dispatch(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	switch m := m.(type) {
	case Begin:
		c.owner.begin(now, from, m, out)
	case Report:
		c.owner.report(now, from, m, out)
	case Running:
		c.owner.running(now, m)
	case Inquire:
		c.owner.inquire(now, from, m, out)
	case Inquired:
		c.owner.inquired(now, from, m, out)
	case Verdict:
		c.runner.verdict(now, from, m, out)
	case ReportAck:
		c.runner.reportAck(from, m)
	case Probe:
		c.runner.probe(from, m, out)
	}
}

// loop handles messages to this process itself, from the given effect on.
func (c *Claims) loop(now time.Time, out *currantturn.Effects, first int) {
	for i := first; i < len(out.Sends); {
		s := out.Sends[i]
		if s.To != c.opts.Self {
			i++
			continue
		}
		out.Sends = append(out.Sends[:i], out.Sends[i+1:]...)
		c.dispatch(now, c.opts.Self, s.Message, out)
	}
}
