package deployment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// FlowID is a caller's address and port and the address of a route.
type FlowID struct {
	Caller, Service netip.AddrPort
}

// String formats the flow.
func (id FlowID) String() string { return fmt.Sprintf("%s>%s", id.Caller, id.Service) }

// hostedFlow is a flow at its host.
type hostedFlow struct {
	openSequence, initialSequence  uint32
	nextFromCaller, nextFromHost   uint32
	open, ended                    bool
	acked                          uint32 // by the caller
	lastAnswer                     []byte // sent again when the request is repeated
	running                        bool
	requestSequence, openedRequest uint32
}

// Opening is the arrival of the opening packet that made a host take a flow.
type Opening struct {
	At   time.Time
	Flow FlowID
}

// Host is a stand-in for a backend server.
type Host struct {
	ID      string
	Service string
	Index   int // of its VM
	d       *Deployment
	work    time.Duration
	born    time.Time
	slots   chan struct{}
	conn    *net.UDPConn
	health  net.Listener

	mu         sync.Mutex
	flows      map[FlowID]*hostedFlow
	openings   []Opening
	sequence   uint64
	draining   bool
	drainingAt time.Time // when the store acknowledged that
	over       bool
}

// StartHost starts a host beside an agent and registers it.
func (d *Deployment) StartHost(j int, service string) (*Host, error) {
	at := d.address(agentNet, j, backendPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", at.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	h := &Host{
		ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, Index: j, d: d, work: cmp.Or(d.opts.Work, 10*time.Millisecond), born: time.Now(),
		slots: make(chan struct{}, slotsPerHost), conn: conn, health: health, flows: make(map[FlowID]*hostedFlow),
	}
	d.mu.Lock()
	d.hosts = append(d.hosts, h)
	d.mu.Unlock()
	go h.serve()
	go h.serveHealth()
	d.Record.Add(h.ID, "starts on VM %d for service %s", j, service)
	h.register("ready")
	return h, nil
}

// slotsPerHost is the number of requests that a host runs at once.
const slotsPerHost = 4

// key is the key of the host's registration.
func (h *Host) key() string { return "servers/" + h.ID }

// register writes the registration and returns when the store acknowledged it.
func (h *Host) register(state string) time.Time {
	h.mu.Lock()
	h.sequence++
	sequence := h.sequence
	h.mu.Unlock()
	at := h.d.Store.Write(h.key(), platformtest.Registration{
		Service: h.Service, Address: h.d.address(agentNet, h.Index, backendPort).String(), Zone: h.d.Zone(h.Index),
		Version: "v1", MaxConcurrency: slotsPerHost, State: state, Sequence: sequence, Born: h.born.UnixMilli(),
	})
	h.d.Record.Add("store", "acknowledges that %s is %s", h.ID, state)
	return at
}

// Drain reports that the host is draining. It goes on serving.
func (h *Host) Drain() {
	at := h.register("draining")
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining, h.drainingAt = true, at
}

// End ends the host and removes its registration.
func (h *Host) End() {
	h.Crash()
	h.d.Store.Remove(h.key())
}

// Crash ends the host, which sends nothing more; its registration stays.
func (h *Host) Crash() {
	h.mu.Lock()
	h.over = true
	h.flows = make(map[FlowID]*hostedFlow)
	h.mu.Unlock()
	_ = h.conn.Close()
	_ = h.health.Close()
	h.d.Record.Add(h.ID, "has ended")
}

// Lapse removes the registration.
func (h *Host) Lapse() { h.d.Store.Remove(h.key()) }

// Openings returns the flows that the host took.
func (h *Host) Openings() []Opening {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Opening(nil), h.openings...)
}

// DrainingAt returns when the store acknowledged that the host is draining; zero if it is not.
func (h *Host) DrainingAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drainingAt
}

// holds reports whether the host is alive and has the flow open.
func (h *Host) holds(id FlowID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[id]
	return !h.over && f != nil && f.open && !f.ended
}

// serveHealth answers health checks, which the agents do not send; they only connect.
func (h *Host) serveHealth() {
	for {
		c, err := h.health.Accept()
		if err != nil {
			return // closed at the end of the host
		}
		_ = c.Close()
	}
}

func (h *Host) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return // closed at the end of the host
		}
		h.receive(append([]byte(nil), b[:n]...))
	}
}

// receive handles a packet that the agent delivers.
func (h *Host) receive(b []byte) {
	p, ok := platformtest.Decode(b)
	if !ok || !p.Intact {
		h.d.Record.Add(h.ID, "gets a packet that nobody wrote so")
		return
	}
	id := FlowID{p.From, p.To}
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[id]
	switch {
	case h.over:
	case p.Flags&platformtest.Open != 0:
		h.receiveOpening(id, f, &p)
	case f == nil, !f.open && p.Acked != f.initialSequence+1:
		h.d.Record.Add(h.ID, "does not hold %s and returns its packet", id)
		platformtest.Bounce(b)
		h.write(b)
	case p.Flags&platformtest.Reset != 0:
		delete(h.flows, id)
	case f.ended:
		h.receiveAfterEnd(id, f, &p)
	default:
		h.receiveData(id, f, &p)
	}
}

// receiveOpening takes a flow, and answers each copy of its opening packet.
func (h *Host) receiveOpening(id FlowID, f *hostedFlow, p *platformtest.Packet) {
	if f == nil || f.openSequence != p.Sequence {
		initial := rand.Uint32()
		f = &hostedFlow{openSequence: p.Sequence, initialSequence: initial, nextFromCaller: p.Sequence + 1, nextFromHost: initial + 1, acked: initial}
		h.flows[id] = f
		h.openings = append(h.openings, Opening{time.Now(), id})
		h.d.Record.Add(h.ID, "takes the opening packet of %s", id)
		go h.resend(id, f, func() ([]byte, bool) { return h.openingAnswer(id, f), !f.open })
	}
	h.write(h.openingAnswer(id, f))
}

func (h *Host) openingAnswer(id FlowID, f *hostedFlow) []byte {
	p := platformtest.Packet{From: id.Service, To: id.Caller, Flags: platformtest.Open | platformtest.Ack, Sequence: f.initialSequence, Acked: f.openSequence + 1}
	return p.Encode()
}

// resend sends a packet again until it is not missing any more, at most maxResends times.
func (h *Host) resend(id FlowID, f *hostedFlow, packet func() (b []byte, missing bool)) {
	wait := ResendAfter
	for range maxResends {
		time.Sleep(wait)
		wait = min(2*wait, maxResendInterval)
		h.mu.Lock()
		b, missing := packet()
		missing = missing && !h.over && h.flows[id] == f
		if missing {
			h.write(b)
		}
		h.mu.Unlock()
		if !missing {
			return
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !f.open && h.flows[id] == f {
		delete(h.flows, id) // given up
	}
}

// receiveAfterEnd answers a packet of a flow that has ended here.
func (h *Host) receiveAfterEnd(id FlowID, f *hostedFlow, p *platformtest.Packet) {
	reply := platformtest.Packet{From: id.Service, To: id.Caller, Flags: platformtest.Ack, Sequence: f.nextFromHost, Acked: p.Sequence + 1}
	switch {
	case p.Data != "":
		reply.Flags = platformtest.Reset
	case p.Flags&platformtest.Close == 0:
		return
	}
	h.write(reply.Encode())
}

// receiveData handles a packet of a flow that it holds.
func (h *Host) receiveData(id FlowID, f *hostedFlow, p *platformtest.Packet) {
	if !f.open {
		f.open = true
		h.d.Record.Add(h.ID, "has the end of the handshake of %s: the flow is open here", id)
	}
	if int32(p.Acked-f.acked) > 0 {
		f.acked = p.Acked
	}
	switch {
	case p.Data != "" && p.Sequence == f.nextFromCaller && !f.running:
		f.nextFromCaller += uint32(len(p.Data))
		f.running, f.lastAnswer = true, nil
		go h.run(id, f, p.Data)
	case p.Data != "" && f.lastAnswer != nil:
		h.write(f.lastAnswer)
	}
	if p.Flags&platformtest.Close != 0 {
		f.ended = true
		reply := platformtest.Packet{From: id.Service, To: id.Caller, Flags: platformtest.Close | platformtest.Ack, Sequence: f.nextFromHost, Acked: p.Sequence + uint32(len(p.Data)) + 1}
		h.write(reply.Encode())
	}
}

// run runs a request and answers it. A draining host closes the flow after that.
func (h *Host) run(id FlowID, f *hostedFlow, request string) {
	attempt := attemptOf(request)
	h.slots <- struct{}{}
	h.d.Record.Add(h.ID, "(%s) runs %s of %s", h.Service, attempt, id)
	h.d.recordRun(attempt, h)
	time.Sleep(h.work)
	<-h.slots
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over || h.flows[id] != f {
		return
	}
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", h.ID, attempt)
	flags := byte(platformtest.Ack)
	if h.draining {
		flags |= platformtest.Close
		f.ended = true
	}
	answer := platformtest.Packet{From: id.Service, To: id.Caller, Flags: flags, Sequence: f.nextFromHost, Acked: f.nextFromCaller, Data: data}
	f.nextFromHost += uint32(len(data))
	f.running, f.lastAnswer = false, answer.Encode()
	h.write(f.lastAnswer)
	end, b := f.nextFromHost, f.lastAnswer
	go h.resend(id, f, func() ([]byte, bool) { return b, int32(end-f.acked) > 0 })
}

// attemptOf returns the ID of a request.
func attemptOf(request string) string {
	_, rest, _ := strings.Cut(request, "X-Attempt-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// write sends a packet to the agent.
func (h *Host) write(b []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(b, h.d.address(agentNet, h.Index, outboundPort)) // a lost packet is sent again
}
