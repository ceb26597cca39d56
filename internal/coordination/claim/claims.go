package claim

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/rank"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// Options configure a Claims machine.
type Options struct {
	Service     currantturn.ServiceName
	Self        netip.AddrPort // link address of this process
	Incarnation uint64         // differs for each start of the process
	Started     time.Time
	Key         rank.Key      // secret key of the hash that ranks owners
	Retention   time.Duration // how long a record is kept after its key was issued
	Bytes       int           // limit on the memory of the records
	ClockSkew   time.Duration // bound on the difference between any two clocks
}

// Claims is the claim state machine of one process, which is the owner of some
// keys and the runner of its own attempts.
type Claims struct {
	opts     Options
	history  atomic.Pointer[history]
	suspects suspects
	owner    *owner
	runner   *runner
}

// New returns a Claims machine without records or a configuration.
func New(opts Options) *Claims {
	c := &Claims{opts: opts}
	c.history.Store(&history{})
	c.owner = newOwner(&c.opts, &c.history, &c.suspects)
	c.runner = newRunner(&c.opts, &c.history, &c.suspects)
	return c
}

// Configure puts a newer configuration in force. The earlier owners of a key
// are derived from the versions passed here. When a version is skipped, this
// process does not grant keys issued before now, because an owner under the
// skipped version may have granted them.
func (c *Claims) Configure(now time.Time, v *currantturn.View, _ *currantturn.Effects) {
	for {
		h := c.history.Load()
		if v.Version <= h.version || c.history.CompareAndSwap(h, h.withConfiguration(now, v, c.opts.Service)) {
			return
		}
	}
}

// MarkEnded records that the process at a link address has ended permanently,
// so that it no longer receives inquiries as an earlier owner.
func (c *Claims) MarkEnded(addr netip.AddrPort) {
	for {
		h := c.history.Load()
		if c.history.CompareAndSwap(h, h.withEnded(addr)) {
			return
		}
	}
}

// Stop makes the owner refuse all keys without a record permanently; keys with
// a record are still served. It is the first step of a planned stop.
func (c *Claims) Stop() {
	c.owner.stopped.Store(true)
}

// Suspect marks the process at a link address as leaving or unresponsive; until
// the given time, keys that depend on its reply are refused without a request
// to it.
func (c *Claims) Suspect(addr netip.AddrPort, until time.Time) {
	c.suspects.add(addr, suspicion{until: until, reported: true})
}

// Unfinished returns the number of attempts that have not ended, including reports
// that their owner has not confirmed, except to owners passed to Suspect.
func (c *Claims) Unfinished(now time.Time) int {
	return c.runner.unfinished(now)
}

// Handle processes a message from a peer.
func (c *Claims) Handle(now time.Time, from netip.AddrPort, m currantturn.Message, out *currantturn.Effects) {
	first := len(out.Sends)
	c.suspects.removeTimedOut(from)
	c.dispatch(now, from, m, out)
	c.deliverLocal(now, out, first)
}

// Tick resends unanswered messages and ends attempts that have timed out.
func (c *Claims) Tick(now time.Time, out *currantturn.Effects) {
	first := len(out.Sends)
	c.runner.tick(now, out)
	c.deliverLocal(now, out, first)
}

// Begin starts an attempt to run the request with the key before the deadline.
// It calls onVerdict at most once, possibly before Begin returns: with Granted,
// after which Start or Cancel must follow, or with the final state of the
// attempt. If closing is set, the key is not granted, but closed unless it was
// granted earlier.
func (c *Claims) Begin(
	now time.Time, k request.Key, digest request.Digest, deadline time.Time, closing bool,
	onVerdict func(Verdict), out *currantturn.Effects,
) (attempt uint64) {
	first := len(out.Sends)
	attempt = c.runner.begin(now, k, digest, deadline, closing, onVerdict, out)
	c.deliverLocal(now, out, first)
	return attempt
}

// Start is called just before a granted request is sent to the backend server;
// it returns false if the request must no longer run.
func (c *Claims) Start(now time.Time, attempt uint64, out *currantturn.Effects) bool {
	first := len(out.Sends)
	ok := c.runner.start(now, attempt, out)
	c.deliverLocal(now, out, first)
	return ok
}

// Done records how a started request ended: Answered, NotRun if it was not sent
// to the backend server, or Unknown.
func (c *Claims) Done(now time.Time, attempt uint64, state State, answer *request.Answer, out *currantturn.Effects) {
	first := len(out.Sends)
	c.runner.done(now, attempt, state, answer, out)
	c.deliverLocal(now, out, first)
}

// Cancel ends an attempt that has not started.
func (c *Claims) Cancel(now time.Time, attempt uint64, out *currantturn.Effects) {
	first := len(out.Sends)
	c.runner.cancel(now, attempt, out)
	c.deliverLocal(now, out, first)
}

// dispatch passes a message to the owner or the runner.
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

// deliverLocal removes the messages to this process itself from the sends, from
// index first on, and dispatches them, including those that this produces.
func (c *Claims) deliverLocal(now time.Time, out *currantturn.Effects, first int) {
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
