package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// work is how long a request takes.
const work = 5 * time.Millisecond

// hostedFlow is a flow at its backend server.
type hostedFlow struct {
	first    uint32 // sequence number of the answer to the opening packet
	next     uint32 // sequence number of the next answer
	expected uint32 // sequence number of the next data
	open     bool
	answer   []byte
}

// host is a backend server.
type host struct {
	d        *deployment
	id       string
	service  string
	zone     string
	address  netip.AddrPort
	outbound netip.AddrPort
	conn     *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]*hostedFlow // by the caller's address
}

func newHost(d *deployment, i int, service, zone string) (*host, error) {
	ip := d.ip(agentNet, i)
	h := &host{
		d: d, id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zone, flows: make(map[netip.AddrPort]*hostedFlow),
		address: netip.AddrPortFrom(ip, appPort), outbound: netip.AddrPortFrom(ip, outboundPort),
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.address)); err != nil {
		return nil, err
	}
	go h.serve()
	return h, nil
}

// register writes the registration at each heartbeat.
func (h *host) register(stop <-chan struct{}) {
	born := time.Now().UnixMilli()
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for sequence := uint64(1); ; sequence++ {
		h.d.store.Register(h.id, platformtest.Registration{
			Service: h.service, Address: h.address.String(), Zone: h.zone, Version: "v1", MaxConcurrency: 7,
			State: "ready", Sequence: sequence, Born: born,
		})
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

func (h *host) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // the socket is closed
		}
		h.handle(append([]byte(nil), b[:n]...))
	}
}

// handle handles a packet that the agent delivers.
func (h *host) handle(b []byte) {
	p, ok := platformtest.Decode(b)
	if !ok || !p.Intact {
		h.d.record.note("host %s received a damaged packet", h.id)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.From]
	switch {
	case p.Flags&platformtest.Open != 0:
		if f == nil {
			first := rand.Uint32()
			f = &hostedFlow{first: first, next: first + 1, expected: p.Sequence + 1}
			h.flows[p.From] = f
		}
		h.send(platformtest.Packet{From: p.To, To: p.From, Flags: platformtest.Open | platformtest.Ack, Sequence: f.first, Acked: f.expected})
	case f == nil, !f.open && p.Acked != f.first+1:
		platformtest.Bounce(b)
		_, _ = h.conn.WriteToUDPAddrPort(b, h.outbound)
	case p.Flags&platformtest.Reset != 0:
		delete(h.flows, p.From)
	case p.Flags&platformtest.Close != 0:
		delete(h.flows, p.From)
		h.send(platformtest.Packet{From: p.To, To: p.From, Flags: platformtest.Close | platformtest.Ack, Sequence: f.next, Acked: p.Sequence + 1})
	case p.Data == "":
		f.open = true
	case p.Sequence == f.expected:
		f.open = true
		f.expected += uint32(len(p.Data))
		h.d.record.note("host %s runs %s", h.id, p.Data)
		time.AfterFunc(work, func() { h.answer(p.From, p.To, f, p.Data) })
	case f.answer != nil:
		_, _ = h.conn.WriteToUDPAddrPort(f.answer, h.outbound)
	}
}

// holds reports whether the backend server holds the open flow of a caller.
func (h *host) holds(caller netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[caller]
	return f != nil && f.open
}

// answer answers a request.
func (h *host) answer(caller, service netip.AddrPort, f *hostedFlow, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := platformtest.Packet{From: service, To: caller, Flags: platformtest.Ack, Sequence: f.next, Acked: f.expected, Data: "200 " + attempt}
	f.next += uint32(len(p.Data))
	f.answer = p.Encode()
	_, _ = h.conn.WriteToUDPAddrPort(f.answer, h.outbound)
}

func (h *host) send(p platformtest.Packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.Encode(), h.outbound)
}
