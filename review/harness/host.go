package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// FlowID identifies a flow by the addresses of its two ends.
type FlowID struct {
	Client, Service netip.AddrPort
}

func (id FlowID) String() string { return id.Client.String() + ">" + id.Service.String() }

// hostFlow is a flow at its host.
type hostFlow struct {
	openSequence uint32 // of the SYN
	initial      uint32 // of the SYN+ACK
	open         bool
	expected     uint32 // sequence number of the next data of the client
	next         uint32 // of the next data of the host
	lastAnswer   []byte // repeated when its request is
}

// Host is a stand-in for a host, beside an agent.
type Host struct {
	ID, Service, Zone string
	Address           netip.AddrPort
	Work              time.Duration // for a request
	Slots             int
	outbound          netip.AddrPort
	record            *Record
	store             *platformtest.Store
	health            *http.Server

	mu       sync.Mutex
	conn     *net.UDPConn
	flows    map[FlowID]*hostFlow
	ended    map[FlowID]bool
	state    string
	sequence uint64
	born     int64
	runs     map[string]int // by the id of the attempt
	rng      *rand.Rand
	stop     chan struct{}
}

// start opens the sockets of the host, serves and registers it.
func (h *Host) start(heartbeat time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.Address))
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", h.Address.String())
	if err != nil {
		return err
	}
	h.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = h.health.Serve(ln) }() // returns after Close
	h.conn, h.state, h.born, h.stop = conn, "ready", time.Now().UnixMilli(), make(chan struct{})
	h.flows, h.ended = make(map[FlowID]*hostFlow), make(map[FlowID]bool)
	h.runs, h.rng = make(map[string]int), rand.New(rand.NewPCG(uint64(h.born), uint64(h.Address.Addr().As4()[3])))
	h.Beat()
	go h.serve()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-h.stop:
				return
			case <-t.C:
				h.Beat()
			}
		}
	}()
	return nil
}

// Beat writes the registration of the host.
func (h *Host) Beat() {
	h.mu.Lock()
	h.sequence++
	r := h.Registration()
	h.mu.Unlock()
	h.store.Register(h.ID, r)
}

// AwaitBeat waits for the next registration that the host writes.
func (h *Host) AwaitBeat() {
	count := func() uint64 {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.sequence
	}
	for first := count(); count() == first; {
		time.Sleep(time.Millisecond)
	}
}

// Registration returns what the host writes of itself.
func (h *Host) Registration() platformtest.Registration {
	return platformtest.Registration{
		Service: h.Service, Address: h.Address.String(), Zone: h.Zone, Version: "v1", MaxConcurrency: h.Slots,
		State: h.state, Sequence: h.sequence, Born: h.born,
	}
}

func (h *Host) close() {
	close(h.stop)
	_ = h.conn.Close()
	_ = h.health.Close()
}

// Holds reports whether the host holds the open flow.
func (h *Host) Holds(id FlowID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.flows[id] != nil && h.flows[id].open
}

func (h *Host) serve() {
	b := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		h.handle(append([]byte(nil), b[:n]...))
	}
}

func (h *Host) handle(d []byte) {
	p, ok := platformtest.Decode(d)
	if !ok || !p.Intact {
		h.record.Printf("host %s: UNASKED packet that its sender did not write so", h.ID)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	id := FlowID{Client: p.From, Service: p.To}
	f := h.flows[id]
	switch {
	case p.Flags&platformtest.Open != 0:
		if f == nil || f.openSequence != p.Sequence {
			first := h.rng.Uint32()
			f = &hostFlow{openSequence: p.Sequence, initial: first, expected: p.Sequence + 1, next: first + 1}
			h.flows[id] = f
			h.record.Printf("host %s: took SYN of %s (copy %d)", h.ID, id, p.Acked)
		} else {
			h.record.Printf("host %s: got copy %d of the SYN of %s, open %t", h.ID, p.Acked, id, f.open)
		}
		h.answerOpening(id, f, 0)
	case h.ended[id] && p.Flags&platformtest.Close != 0:
		h.send(platformtest.Packet{From: id.Service, To: id.Client, Flags: platformtest.Ack, Sequence: p.Acked, Acked: p.Sequence + 1})
	case h.ended[id]:
	case f == nil, !f.open && p.Acked != f.initial+1:
		platformtest.Bounce(d)
		_, _ = h.conn.WriteToUDPAddrPort(d, h.outbound) // a lost packet is sent again
	case p.Flags&platformtest.Reset != 0:
		delete(h.flows, id)
		h.ended[id] = true
		h.record.Printf("host %s: the client reset %s", h.ID, id)
	default:
		h.handleData(id, f, &p)
	}
}

// answerOpening answers a SYN, and repeats that until the client acknowledges it.
func (h *Host) answerOpening(id FlowID, f *hostFlow, repeats int) {
	h.send(platformtest.Packet{
		From: id.Service, To: id.Client, Flags: platformtest.Open | platformtest.Ack, Sequence: f.initial, Acked: f.openSequence + 1,
	})
	if f.open || repeats == maxRepeats {
		return
	}
	time.AfterFunc(min(firstRepeat<<repeats, lastRepeat), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.flows[id] == f && !f.open {
			h.answerOpening(id, f, repeats+1)
		}
	})
}

func (h *Host) handleData(id FlowID, f *hostFlow, p *platformtest.Packet) {
	if !f.open {
		f.open = true
		h.record.Printf("host %s: %s is open", h.ID, id)
	}
	switch {
	case p.Flags&platformtest.Close != 0:
		delete(h.flows, id)
		h.ended[id] = true
		h.send(platformtest.Packet{From: id.Service, To: id.Client, Flags: platformtest.Close | platformtest.Ack, Sequence: f.next, Acked: p.Sequence + 1})
	case p.Data == "":
	case p.Sequence == f.expected:
		f.expected += uint32(len(p.Data))
		f.lastAnswer = nil
		attempt := attemptOf(p.Data)
		h.runs[attempt]++
		h.record.Printf("host %s: runs %s of %s (run %d)", h.ID, attempt, id, h.runs[attempt])
		time.AfterFunc(h.Work, func() { h.answer(id, f, attempt) })
	case f.lastAnswer != nil:
		_, _ = h.conn.WriteToUDPAddrPort(f.lastAnswer, h.outbound) // a lost packet is sent again
	}
}

func (h *Host) answer(id FlowID, f *hostFlow, attempt string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[id] != f {
		return
	}
	body := "done " + attempt + " by " + h.ID + strings.Repeat(".", 400)
	a := platformtest.Packet{
		From: id.Service, To: id.Client, Flags: platformtest.Ack, Sequence: f.next, Acked: f.expected,
		Data: fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", h.ID, len(body), body),
	}
	f.next += uint32(len(a.Data))
	f.lastAnswer = a.Encode()
	_, _ = h.conn.WriteToUDPAddrPort(f.lastAnswer, h.outbound) // a lost packet is sent again
}

func (h *Host) send(p platformtest.Packet) {
	_, _ = h.conn.WriteToUDPAddrPort(p.Encode(), h.outbound) // a lost packet is sent again
}

// attemptOf returns the value of the header X-Attempt-Id of a request.
func attemptOf(request string) string {
	_, after, _ := strings.Cut(request, "X-Attempt-Id: ")
	id, _, _ := strings.Cut(after, "\r\n")
	return id
}

// Retransmissions of both ends: after 200 ms, with an interval that doubles up to 1.6 s.
const (
	firstRepeat = 200 * time.Millisecond
	lastRepeat  = 1600 * time.Millisecond
	maxRepeats  = 8
)
