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
	id            string
	name          string // unique even if two instances have the same id
	vm            int    // index of the VM
	service       int
	started       time.Time
	sequence      uint64    // of its last registration
	drainingSince time.Time // when the store acknowledged the draining state, else zero
	fewerSlots    bool      // whether it registers one slot less than it has
}

// hostedFlow is the state of a flow at its backend server.
type hostedFlow struct {
	open             bool
	initialSequence  uint32 // of the answer to the opening packet
	openSequence     uint32 // of the opening packet
	expectedSequence uint32 // of the caller's next data
	nextSequence     uint32 // of the next answer
	lastAnswer       []byte // resent when the request is repeated; nil while the request is processed
}

// backendVM is a VM that runs at most one backend server at a time.
type backendVM struct {
	net     *network
	index   int
	checker *checker

	replacing   sync.Mutex // held by the fault that replaces the instance
	registering sync.Mutex // held while the instance or its draining and its registration change

	mu      sync.Mutex
	rng     *rand.Rand
	current *instance // nil while none runs
	conn    *net.UDPConn
	flows   map[flowID]*hostedFlow
	slots   chan struct{}
	slow    int    // active faults that slow it down
	grey    string // how it fails part of its requests; empty if it does not
}

// change changes the behaviour of the backend server on the VM.
func (vm *backendVM) change(f func(vm *backendVM)) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	f(vm)
}

func newBackendVM(n *network, index int, seed uint64, c *checker) *backendVM {
	return &backendVM{net: n, index: index, checker: c, rng: rand.New(rand.NewPCG(seed, uint64(index)+100))}
}

// start starts an instance, which has no state of earlier instances.
func (vm *backendVM) start(b *instance) error {
	conn, err := vm.net.listen(vm.net.address(agentNet, vm.index, backendPort))
	if err != nil {
		return err
	}
	vm.mu.Lock()
	vm.current, vm.conn = b, conn
	vm.flows, vm.slots = make(map[flowID]*hostedFlow), make(chan struct{}, slotsPerBackend)
	vm.mu.Unlock()
	go serveDatagrams(conn, func(_ netip.AddrPort, d []byte) { vm.handleDatagram(time.Now(), b, conn, d) })
	return nil
}

// stop ends the instance and discards its state.
func (vm *backendVM) stop() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.current, vm.flows = nil, nil
	_ = vm.conn.Close() // makes serveDatagrams return
}

// markDraining records when the store acknowledged that the instance is draining.
func (vm *backendVM) markDraining(now time.Time) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.current.drainingSince = now
}

// registrationState returns the state that the running instance registers.
func (vm *backendVM) registrationState() string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.current.drainingSince.IsZero() {
		return "ready"
	}
	return "draining"
}

func (vm *backendVM) instance() *instance {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.current
}

// holds reports whether the instance is running and holds the open flow.
func (vm *backendVM) holds(b *instance, id flowID) bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.current == b && vm.flows[id] != nil && vm.flows[id].open
}

// handleDatagram handles a datagram that the agent delivers. A packet of an unknown
// flow is returned to the agent.
func (vm *backendVM) handleDatagram(now time.Time, b *instance, conn *net.UDPConn, d []byte) {
	p, ok := platformtest.Decode(d)
	if !ok || !p.Intact {
		vm.checker.report(now, "unasked", "%s received a corrupted packet", b.id)
		return
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.current != b {
		return // the instance has just ended
	}
	id := flowID{caller: p.From, service: p.To}
	f := vm.flows[id]
	switch {
	case p.Flags&platformtest.Open != 0:
		vm.handleOpen(now, b, conn, id, f, &p)
	case f == nil, !f.open && p.Acked != f.initialSequence+1:
		vm.checker.checkStray(now, id)
		platformtest.Bounce(d)
		sendDatagram(conn, vm.net.address(agentNet, vm.index, outboundPort), d)
	case p.Flags&platformtest.Reset != 0:
		delete(vm.flows, id)
	default:
		vm.handleData(now, b, conn, id, f, &p)
	}
}

// handleOpen accepts a new flow and answers its opening packet; a copy gets the same
// answer.
func (vm *backendVM) handleOpen(now time.Time, b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, p *platformtest.Packet) {
	if f == nil || f.openSequence != p.Sequence {
		vm.checker.checkPlacement(now, id, b)
		first := vm.rng.Uint32()
		f = &hostedFlow{openSequence: p.Sequence, initialSequence: first, expectedSequence: p.Sequence + 1, nextSequence: first + 1}
		vm.flows[id] = f
	}
	vm.answerOpening(b, conn, id, f, 0)
}

// answerOpening answers an opening packet and repeats that until the caller acknowledges it.
func (vm *backendVM) answerOpening(b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, repeats int) {
	vm.send(conn, platformtest.Packet{
		From: id.service, To: id.caller, Flags: platformtest.Open | platformtest.Ack, Sequence: f.initialSequence, Acked: f.openSequence + 1,
	})
	if repeats == answerRepeats {
		return
	}
	time.AfterFunc(min(resendAfter<<repeats, maxRepeatInterval), func() {
		vm.mu.Lock()
		defer vm.mu.Unlock()
		if vm.current == b && vm.flows[id] == f && !f.open {
			vm.answerOpening(b, conn, id, f, repeats+1)
		}
	})
}

// handleData handles a packet of a flow after its opening packet: the end of the
// handshake, a request, a repeated request or the close.
func (vm *backendVM) handleData(now time.Time, b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, p *platformtest.Packet) {
	if !f.open {
		f.open = true
		vm.checker.recordOpened(now, id, b)
	}
	vm.checker.recordAtHolder(now, id)
	switch {
	case p.Flags&platformtest.Close != 0:
		delete(vm.flows, id)
		vm.send(conn, platformtest.Packet{From: id.service, To: id.caller, Flags: platformtest.Close | platformtest.Ack, Sequence: f.nextSequence, Acked: p.Sequence + 1})
	case p.Data == "":
	case p.Sequence == f.expectedSequence:
		f.expectedSequence += uint32(len(p.Data))
		f.lastAnswer = nil
		vm.checker.checkExecution(now, p.Data, b)
		work := minWork + time.Duration(vm.rng.Int64N(int64(maxWork-minWork)))
		if vm.slow > 0 {
			work *= slowFactor
		}
		if vm.grey != "" && vm.rng.Float64() < greyShare {
			if vm.grey == greyReset {
				delete(vm.flows, id)
				vm.send(conn, platformtest.Packet{From: id.service, To: id.caller, Flags: platformtest.Reset, Sequence: f.nextSequence})
			}
			return
		}
		go vm.processRequest(b, conn, id, f, p.Data, work, vm.slots)
	case f.lastAnswer != nil:
		sendDatagram(conn, vm.net.address(agentNet, vm.index, outboundPort), f.lastAnswer)
	}
}

// processRequest waits for a free slot, occupies it for the processing time and
// answers the request.
func (vm *backendVM) processRequest(b *instance, conn *net.UDPConn, id flowID, f *hostedFlow, request string, work time.Duration, slots chan struct{}) {
	slots <- struct{}{}
	time.Sleep(work)
	<-slots
	vm.mu.Lock()
	defer vm.mu.Unlock()
	if vm.current != b || vm.flows[id] != f {
		return // the instance or the flow has ended
	}
	answer := platformtest.Packet{
		From: id.service, To: id.caller, Flags: platformtest.Ack, Sequence: f.nextSequence, Acked: f.expectedSequence,
		Data: fmt.Sprintf("%s %s", request, b.name),
	}
	f.nextSequence += uint32(len(answer.Data))
	f.lastAnswer = answer.Encode()
	sendDatagram(conn, vm.net.address(agentNet, vm.index, outboundPort), f.lastAnswer)
}

func (vm *backendVM) send(conn *net.UDPConn, p platformtest.Packet) {
	sendDatagram(conn, vm.net.address(agentNet, vm.index, outboundPort), p.Encode())
}
