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

// caller is a client that keeps flowsPerCaller flows open at a time.
type caller struct {
	net        *network
	routers    *routers
	checker    *checker
	vms        []*backendVM
	index      int
	conn       *net.UDPConn
	targets    []netip.AddrPort
	longPauses *atomic.Bool // whether flows have long pauses between their requests
	lastServed atomic.Int64 // start of the last request that was answered, in Unix nanoseconds

	mu    sync.Mutex
	rng   *rand.Rand
	port  uint16                         // of the last flow
	flows map[uint16]chan receivedPacket // by the caller's port
}

// receivedPacket is a packet that a caller received.
type receivedPacket struct {
	packet platformtest.Packet
	from   netip.AddrPort
}

func newCaller(n *network, r *routers, check *checker, vms []*backendVM, index int, seed uint64, targets []netip.AddrPort, longPauses *atomic.Bool) (*caller, error) {
	c := &caller{
		net: n, routers: r, checker: check, vms: vms, index: index, targets: targets, longPauses: longPauses,
		rng: rand.New(rand.NewPCG(seed, uint64(index)+1000)), port: 20000, flows: make(map[uint16]chan receivedPacket),
	}
	conn, err := n.listen(n.address(callerNet, index, callerPort))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go serveDatagrams(conn, c.dispatch)
	return c, nil
}

// dispatch passes a datagram to its flow.
func (c *caller) dispatch(from netip.AddrPort, d []byte) {
	p, ok := platformtest.Decode(d)
	if !ok || !p.Intact && p.Flags != platformtest.Reset {
		c.checker.report(time.Now(), "mixed", "caller %d received a corrupted packet", c.index)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flows[p.To.Port()]; f != nil {
		select {
		case f <- receivedPacket{packet: p, from: from}:
		default: // the flow's queue is full; the flow will resend
		}
	}
}

// run opens one flow after the other, flowsPerCaller at a time, until the context ends.
func (c *caller) run(ctx context.Context) {
	var wg sync.WaitGroup
	for range flowsPerCaller {
		wg.Go(func() {
			for ctx.Err() == nil {
				c.runFlow(ctx)
			}
		})
	}
	wg.Wait()
}

// callerFlow is a flow at its caller.
type callerFlow struct {
	*caller
	id            flowID
	received      chan receivedPacket
	nextSequence  uint32 // of the next data
	acked         uint32 // sequence number after the data received; before the handshake, the number of copies sent
	firstAnswerer string // name of the instance that sent the first answer
}

func (c *caller) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// runFlow opens a flow, sends a random number of requests and closes it.
func (c *caller) runFlow(ctx context.Context) {
	c.mu.Lock()
	c.port++
	address := netip.AddrPortFrom(c.net.address(callerNet, c.index, 0).Addr(), c.port)
	f := &callerFlow{
		caller: c, received: make(chan receivedPacket, 64), nextSequence: c.rng.Uint32(),
		id: flowID{caller: address, service: c.targets[c.rng.IntN(len(c.targets))]},
	}
	c.flows[address.Port()] = f.received
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, address.Port())
		c.mu.Unlock()
	}()
	if !f.open(ctx) {
		pause.For(ctx, time.Duration(c.randomInt(int(maxRequestPause))))
		return
	}
	requests, minPause, maxPause := 1+c.randomInt(maxRequestsPerFlow), time.Duration(0), maxRequestPause
	if c.longPauses.Load() {
		requests, minPause, maxPause = maxRequestsPerFlow, longPause/2, longPause
	}
	for n := range requests {
		if !f.request(ctx, fmt.Sprintf("%s/%d", address, n)) {
			return
		}
		pause.For(ctx, minPause+time.Duration(c.randomInt(int(maxPause-minPause))))
	}
	f.send(platformtest.Close|platformtest.Ack, "")
}

// open sends the opening packet, and up to two copies, until it is answered. It
// reports whether the flow is open.
func (f *callerFlow) open(ctx context.Context) bool {
	started := time.Now()
	end := time.After(openTimeout)
	f.send(platformtest.Open, "")
	copies := []<-chan time.Time{time.After(resendAfter), time.After(3 * resendAfter)}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-copies[0]:
			f.acked++ // numbers the copies
			f.send(platformtest.Open, "")
		case <-copies[1]:
			f.acked++
			f.send(platformtest.Open, "")
		case <-end:
			f.checker.checkNotOpened(started, f.id, "not answered")
			return false
		case a := <-f.received:
			switch {
			case a.packet.Flags == platformtest.Reset:
				f.checker.checkNotOpened(started, f.id, "refused")
				return false
			case a.packet.Flags == platformtest.Open|platformtest.Ack:
				f.nextSequence++
				f.acked = a.packet.Sequence + 1
				f.send(platformtest.Ack, "")
				return true
			}
		}
	}
}

// request sends a request, and repeats it with growing delays, until it is answered.
// It reports whether the flow can go on.
func (f *callerFlow) request(ctx context.Context, request string) bool {
	started := time.Now()
	end := time.After(requestTimeout)
	wait := resendAfter
	f.send(platformtest.Ack, request)
	again := time.After(wait)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-again:
			f.send(platformtest.Ack, request)
			wait *= 2
			again = time.After(wait)
		case <-end:
			f.checker.checkUnanswered(started, f.id, request)
			f.send(platformtest.Reset, "")
			return false
		case a := <-f.received:
			if done, ok := f.handlePacket(a, request, started); done {
				return ok
			}
		}
	}
}

// handlePacket handles a packet that arrives while a request is pending. It reports
// whether the request is done and whether it was answered.
func (f *callerFlow) handlePacket(a receivedPacket, request string, started time.Time) (done, ok bool) {
	now := time.Now()
	switch {
	case a.packet.Flags == platformtest.Reset:
		f.handleReset(now, a.from)
		return true, false
	case a.packet.Data == "" || a.packet.Sequence != f.acked:
		return false, false // a copy
	}
	got, holder, _ := strings.Cut(a.packet.Data, " ")
	if got != request {
		f.checker.report(now, "mixed", "request %s of %s received the answer to %s", request, f.id, got)
		return true, false
	}
	if f.firstAnswerer == "" {
		f.firstAnswerer = holder
	}
	if f.firstAnswerer != holder {
		f.checker.report(now, "flow", "%s was answered by %s, then by %s", f.id, f.firstAnswerer, holder)
	}
	f.acked += uint32(len(a.packet.Data))
	f.nextSequence += uint32(len(request))
	f.checker.count("requests answered")
	f.lastServed.Store(started.UnixNano())
	return true, true
}

// handleReset reports a reset of an open flow, with its sender, to the checker.
func (f *callerFlow) handleReset(now time.Time, from netip.AddrPort) {
	sender := subject("an unknown sender")
	if i, ok := f.net.endpointIndex(balancerNet, from); ok {
		sender = balancerSubject(i)
	} else if j, ok := f.net.endpointIndex(agentNet, from); ok {
		sender = backendSubject(j)
	}
	holder := f.checker.holderOf(f.id)
	if holder == nil {
		f.checker.checkNotOpened(now, f.id, "refused")
		return
	}
	f.checker.checkReset(now, f.id, sender, holder, f.vms[holder.vm].holds(holder, f.id))
}

// send sends a packet to the balancer that the routers choose.
func (f *callerFlow) send(flags byte, data string) {
	p := platformtest.Packet{From: f.id.caller, To: f.id.service, Flags: flags, Sequence: f.nextSequence, Acked: f.acked, Data: data}
	balancer, lost := f.routers.pick(f.id)
	f.checker.recordSent(time.Now(), f.id, balancer)
	if !lost {
		sendDatagram(f.conn, f.net.address(balancerNet, balancer, callerPort), p.Encode())
	}
}
