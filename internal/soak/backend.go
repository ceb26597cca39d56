package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
)

// instance is one start of a backend server.
type instance struct {
	id      string
	name    string // differs between two starts with one id
	machine int
	service int
	born    time.Time
	leaving time.Time // when the store acknowledged it, else zero
}

// hostedFlow is a flow as its backend server knows it.
type hostedFlow struct {
	open     bool
	first    uint32 // sequence number of the answer to the opening packet
	opened   uint32 // the opening packet's sequence number
	next     uint32 // of the caller's next data
	sequence uint32 // of the next answer
	answer   []byte // the last answer, repeated on demand
}

// backendVM is a machine on which one backend server after the other runs.
type backendVM struct {
	net   *network
	index int
	judge *judge

	changing sync.Mutex // held by the fault that replaces the instance

	mu      sync.Mutex
	rng     *rand.Rand
	present *instance // nil while none runs
	conn    *net.UDPConn
	flows   map[flowID]*hostedFlow
	slots   chan struct{}
}

func newBackendVM(n *network, index int, seed uint64, j *judge) *backendVM {
	return &backendVM{net: n, index: index, judge: j, rng: rand.New(rand.NewPCG(seed, uint64(index)+100))}
}

// start runs an instance, which knows nothing of the ones before.
func (m *backendVM) start(b *instance) error {
	conn, err := m.net.listen(m.net.at(agentNet, m.index, backendPort))
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.present, m.conn = b, conn
	m.flows, m.slots = make(map[flowID]*hostedFlow), make(chan struct{}, slots)
	m.mu.Unlock()
	go serveDatagrams(conn, func(_ netip.AddrPort, d []byte) { m.take(time.Now(), b, conn, d) })
	return nil
}

// end loses the instance with all that it held.
func (m *backendVM) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.present, m.flows = nil, nil
	_ = m.conn.Close() // ends serveDatagrams
}

// leave marks the instance as leaving, which the store has acknowledged.
func (m *backendVM) leave(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.present.leaving = now
}

func (m *backendVM) instance() *instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.present
}

// holds says whether the instance still runs and holds the flow.
func (m *backendVM) holds(b *instance, id flowID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.present == b && m.flows[id] != nil && m.flows[id].open
}

// take handles a datagram that the agent delivers.
func (m *backendVM) take(now time.Time, b *instance, conn *net.UDPConn, d []byte) {
	p, ok := platformtest.Decode(d)
	if !ok || !p.Intact {
		m.judge.failed(now, "unasked", "%s got a packet that nobody sent so", b.id)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.present != b {
		return // it has just ended
	}
	id := flowID{caller: p.From, service: p.To}
	f := m.flows[id]
	switch {
	case p.Flags&platformtest.Open != 0:
		m.open(now, b, conn, id, f, &p)
	case f == nil, !f.open && p.Acked != f.first+1:
		m.judge.strayed(now, id)
		platformtest.Bounce(d)
		write(conn, m.net.at(agentNet, m.index, outboundPort), d)
	case p.Flags&platformtest.Reset != 0:
		delete(m.flows, id)
	default:
		m.data(now, b, conn, id, f, &p)
	}
}

func (m *backendVM) open(now time.Time, b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, p *platformtest.Packet) {
	if f == nil || f.opened != p.Sequence {
		m.judge.placed(now, id, b)
		first := m.rng.Uint32()
		f = &hostedFlow{opened: p.Sequence, first: first, next: p.Sequence + 1, sequence: first + 1}
		m.flows[id] = f
	}
	m.send(conn, platformtest.Packet{
		From: id.service, To: id.caller, Flags: platformtest.Open | platformtest.Ack, Sequence: f.first, Acked: f.opened + 1,
	})
}

func (m *backendVM) data(now time.Time, b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, p *platformtest.Packet) {
	if !f.open {
		f.open = true
		m.judge.opened(now, id, b)
	}
	m.judge.arrived(now, id)
	switch {
	case p.Flags&platformtest.Close != 0:
		delete(m.flows, id)
		m.send(conn, platformtest.Packet{From: id.service, To: id.caller, Flags: platformtest.Close | platformtest.Ack, Sequence: f.sequence, Acked: p.Sequence + 1})
	case p.Data == "":
	case p.Sequence == f.next:
		f.next += uint32(len(p.Data))
		f.answer = nil
		m.judge.ran(now, p.Data, b)
		work := workLeast + time.Duration(m.rng.Int64N(int64(workMost-workLeast)))
		go m.work(b, conn, id, f, p.Data, work, m.slots)
	case f.answer != nil:
		write(conn, m.net.at(agentNet, m.index, outboundPort), f.answer)
	}
}

// work answers a request once a slot was free for the time that it takes.
func (m *backendVM) work(b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, request string, work time.Duration, free chan struct{}) {
	free <- struct{}{}
	time.Sleep(work)
	<-free
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.present != b || m.flows[id] != f {
		return // it has ended, or the flow has
	}
	answer := platformtest.Packet{
		From: id.service, To: id.caller, Flags: platformtest.Ack, Sequence: f.sequence, Acked: f.next,
		Data: fmt.Sprintf("%s %s", request, b.name),
	}
	f.sequence += uint32(len(answer.Data))
	f.answer = answer.Encode()
	write(conn, m.net.at(agentNet, m.index, outboundPort), f.answer)
}

func (m *backendVM) send(conn *net.UDPConn, p platformtest.Packet) {
	write(conn, m.net.at(agentNet, m.index, outboundPort), p.Encode())
}
