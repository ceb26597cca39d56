package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn/internal/pause"
	"github.com/currantturn/currantturn/platform/platformtest"
)

// caller is a client that opens one flow after the other, some at a time.
type caller struct {
	net     *network
	routers *routers
	judge   *judge
	vms     []*backendVM
	index   int
	conn    *net.UDPConn
	targets []netip.AddrPort
	served  atomic.Int64 // when the last request began that was answered, Unix nanoseconds

	mu    sync.Mutex
	rng   *rand.Rand
	port  uint16
	flows map[uint16]chan arrival // by the caller's port
}

// arrival is a packet that a caller got.
type arrival struct {
	packet platformtest.Packet
	from   netip.AddrPort
}

func newCaller(n *network, r *routers, j *judge, vms []*backendVM, index int, seed uint64, targets []netip.AddrPort) (*caller, error) {
	c := &caller{
		net: n, routers: r, judge: j, vms: vms, index: index, targets: targets,
		rng: rand.New(rand.NewPCG(seed, uint64(index)+1000)), port: 20000, flows: make(map[uint16]chan arrival),
	}
	conn, err := n.listen(n.at(callerNet, index, callerPort))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go serveDatagrams(conn, c.take)
	return c, nil
}

// take hands a datagram to the flow that it is for.
func (c *caller) take(from netip.AddrPort, d []byte) {
	p, ok := platformtest.Decode(d)
	if !ok || !p.Intact && p.Flags != platformtest.Reset {
		c.judge.failed(time.Now(), "mixed", "caller %d got a packet that nobody sent so", c.index)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flows[p.To.Port()]; f != nil {
		select {
		case f <- arrival{packet: p, from: from}:
		default: // the caller is behind; it repeats
		}
	}
}

// run keeps flows going until the context ends.
func (c *caller) run(ctx context.Context) {
	var wg sync.WaitGroup
	for range flowsPerCaller {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.flow(ctx)
			}
		})
	}
	wg.Wait()
}

// connection is one flow of a caller.
type connection struct {
	*caller
	id       flowID
	in       chan arrival
	sequence uint32 // of the next data
	acked    uint32 // what was received
	holder   string // who answered first
}

func (c *caller) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// flow opens a flow, sends some requests and closes it.
func (c *caller) flow(ctx context.Context) {
	c.mu.Lock()
	c.port++
	own := netip.AddrPortFrom(c.net.at(callerNet, c.index, 0).Addr(), c.port)
	x := &connection{
		caller: c, in: make(chan arrival, 64), sequence: c.rng.Uint32(),
		id: flowID{caller: own, service: c.targets[c.rng.IntN(len(c.targets))]},
	}
	c.flows[own.Port()] = x.in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, own.Port())
		c.mu.Unlock()
	}()
	if !x.open(ctx) {
		pause.For(ctx, time.Duration(c.random(int(pauseMost))))
		return
	}
	for n := range 1 + c.random(longFlow) {
		if !x.request(ctx, fmt.Sprintf("%s/%d", own, n)) {
			return
		}
		pause.For(ctx, time.Duration(c.random(int(pauseMost))))
	}
	x.send(platformtest.Close|platformtest.Ack, "")
}

// open sends the opening packet and its copies until an answer comes.
func (x *connection) open(ctx context.Context) bool {
	begun := time.Now()
	end := time.After(openTimeout)
	x.send(platformtest.Open, "")
	copies := []<-chan time.Time{time.After(resendAfter), time.After(3 * resendAfter)}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-copies[0]:
			x.acked++ // counts the copies
			x.send(platformtest.Open, "")
		case <-copies[1]:
			x.acked++
			x.send(platformtest.Open, "")
		case <-end:
			x.judge.refused(begun, x.id, "not answered")
			return false
		case a := <-x.in:
			switch {
			case a.packet.Flags == platformtest.Reset:
				x.judge.refused(begun, x.id, "refused")
				return false
			case a.packet.Flags == platformtest.Open|platformtest.Ack:
				x.sequence++
				x.acked = a.packet.Sequence + 1
				x.send(platformtest.Ack, "")
				return true
			}
		}
	}
}

// request sends a request until its answer comes; false ends the flow.
func (x *connection) request(ctx context.Context, request string) bool {
	begun := time.Now()
	end := time.After(requestTimeout)
	wait := resendAfter
	x.send(platformtest.Ack, request)
	again := time.After(wait)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-again:
			x.send(platformtest.Ack, request)
			wait *= 2
			again = time.After(wait)
		case <-end:
			x.judge.unserved(begun, x.id, request)
			x.send(platformtest.Reset, "")
			return false
		case a := <-x.in:
			if done, ok := x.arrived(a, request, begun); done {
				return ok
			}
		}
	}
}

// arrived takes a packet while a request waits.
func (x *connection) arrived(a arrival, request string, begun time.Time) (done, ok bool) {
	now := time.Now()
	switch {
	case a.packet.Flags == platformtest.Reset:
		x.wasReset(now, a.from)
		return true, false
	case a.packet.Data == "" || a.packet.Sequence != x.acked:
		return false, false // a repeat
	}
	got, holder, _ := strings.Cut(a.packet.Data, " ")
	if got != request {
		x.judge.failed(now, "mixed", "request %s of %s got the answer of %s", request, x.id, got)
		return true, false
	}
	if x.holder == "" {
		x.holder = holder
	}
	if x.holder != holder {
		x.judge.failed(now, "flow", "%s was answered by %s, then by %s", x.id, x.holder, holder)
	}
	x.acked += uint32(len(a.packet.Data))
	x.sequence += uint32(len(request))
	x.judge.count("requests answered")
	x.served.Store(begun.UnixNano())
	return true, true
}

// wasReset judges a reset of an open flow by who sent it.
func (x *connection) wasReset(now time.Time, from netip.AddrPort) {
	sender := subject("an unknown sender")
	if i, ok := x.net.index(balancerNet, from); ok {
		sender = balancerSubject(i)
	} else if j, ok := x.net.index(agentNet, from); ok {
		sender = backendSubject(j)
	}
	holder := x.judge.holderOf(x.id)
	if holder == nil {
		x.judge.refused(now, x.id, "refused")
		return
	}
	x.judge.reset(now, x.id, sender, holder, x.vms[holder.machine].holds(holder, x.id))
}

// send writes a packet to the balancer that the routers choose.
func (x *connection) send(flags byte, data string) {
	p := platformtest.Packet{From: x.id.caller, To: x.id.service, Flags: flags, Sequence: x.sequence, Acked: x.acked, Data: data}
	balancer, lost := x.routers.pick(x.id)
	x.judge.sent(time.Now(), x.id, balancer)
	if !lost {
		write(x.conn, x.net.at(balancerNet, balancer, callerPort), p.Encode())
	}
}
