package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/transport/entry"
	"github.com/rotisserie/eris"
)

const (
	datagramBytes     = 2048 // of a receive buffer
	socketBufferBytes = 4 << 20
)

// Options configure the faults that the fabric injects.
type Options struct {
	Seed     uint64
	Loss     float64       // probability that a packet is dropped
	MaxDelay time.Duration // upper bound of a packet's random delay each way
}

// Fabric sends each caller's packet to a randomly chosen balancer and the
// balancers' responses back to the callers.
type Fabric struct {
	opts         Options
	balancerConn *net.UDPConn // sends to and receives from the balancers
	mu           sync.Mutex
	rng          *rand.Rand
	balancers    []netip.AddrPort
	services     map[netip.AddrPort]*net.UDPConn
	sprayed      atomic.Uint64
	dropped      atomic.Uint64
}

// New opens a fabric on loopback with no services and no balancers.
func New(opts Options) (*Fabric, error) {
	conn, err := listen()
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		opts:         opts,
		balancerConn: conn,
		rng:          rand.New(rand.NewPCG(opts.Seed, 1)),
		services:     make(map[netip.AddrPort]*net.UDPConn),
	}
	go f.readFromBalancers()
	return f, nil
}

// listen opens a loopback socket with large buffers, so that bursts are less likely to be
// dropped.
func listen() (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "bind fabric socket")
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Addr returns the address to which balancers send responses.
func (f *Fabric) Addr() netip.AddrPort {
	return f.balancerConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// AddService opens a new service address and returns it.
func (f *Fabric) AddService() (netip.AddrPort, error) {
	conn, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f.mu.Lock()
	f.services[address] = conn
	f.mu.Unlock()
	go f.sprayFromCallers(address, conn)
	return address, nil
}

// SetBalancers replaces the balancers over which packets are sprayed.
func (f *Fabric) SetBalancers(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), entries...)
}

// Sprayed returns the number of callers' packets sent to balancers.
func (f *Fabric) Sprayed() uint64 {
	return f.sprayed.Load()
}

// Close closes the fabric's sockets.
func (f *Fabric) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.services {
		_ = conn.Close()
	}
	return f.balancerConn.Close()
}

// sprayFromCallers sends each packet that arrives at a service address to a balancer,
// with a proxy header that names the caller and the service.
func (f *Fabric) sprayFromCallers(service netip.AddrPort, conn *net.UDPConn) {
	buf := make([]byte, datagramBytes)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		to, delay, ok := f.chooseBalancer()
		if !ok {
			f.dropped.Add(1)
			continue
		}
		p, err := entry.AppendProxied(nil, caller, service, buf[:n])
		if err != nil {
			f.dropped.Add(1)
			continue
		}
		f.sprayed.Add(1)
		send(f.balancerConn, to, p, delay)
	}
}

// chooseBalancer returns a random balancer and delay for a packet; ok is false if the
// packet is dropped.
func (f *Fabric) chooseBalancer() (to netip.AddrPort, delay time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 || f.rng.Float64() < f.opts.Loss {
		return to, 0, false
	}
	to = f.balancers[f.rng.IntN(len(f.balancers))]
	if f.opts.MaxDelay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.opts.MaxDelay)))
	}
	return to, delay, true
}

// readFromBalancers sends each response of a balancer to its caller.
func (f *Fabric) readFromBalancers() {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := f.balancerConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p currantturn.Packet
		if entry.ParseProxied(buf[:n], &p) != nil {
			f.dropped.Add(1)
			continue
		}
		f.sendToCaller(&p)
	}
}

// sendToCaller sends a balancer's response to the caller from the service address. The
// source in a response's header is the service, which ParseProxied returns as the
// flow's caller.
func (f *Fabric) sendToCaller(p *currantturn.Packet) {
	service, caller := p.Flow.Caller, p.Flow.Service
	f.mu.Lock()
	conn := f.services[service]
	lost := f.rng.Float64() < f.opts.Loss
	var delay time.Duration
	if f.opts.MaxDelay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.opts.MaxDelay)))
	}
	f.mu.Unlock()
	if conn == nil || lost {
		f.dropped.Add(1)
		return
	}
	send(conn, caller, append([]byte(nil), p.Payload...), delay)
}

// send sends a packet after a delay.
func send(conn *net.UDPConn, to netip.AddrPort, p []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = conn.WriteToUDPAddrPort(p, to)
		return
	}
	time.AfterFunc(delay, func() { _, _ = conn.WriteToUDPAddrPort(p, to) })
}
