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
	datagramBytes     = 2048
	socketBufferBytes = 4 << 20
)

// Options are the faults that the fabric causes.
type Options struct {
	Seed  uint64
	Loss  float64       // probability that a packet is dropped
	Delay time.Duration // largest random delay of a packet each way
}

// Fabric sprays each caller's packet over the balancers.
type Fabric struct {
	opts      Options
	inside    *net.UDPConn // towards the balancers
	mu        sync.Mutex
	rng       *rand.Rand
	balancers []netip.AddrPort
	services  map[netip.AddrPort]*net.UDPConn
	sprayed   atomic.Uint64
	dropped   atomic.Uint64
}

// New opens a fabric on loopback with no services and no balancers.
func New(opts Options) (*Fabric, error) {
	inside, err := listen()
	if err != nil {
		return nil, err
	}
	f := &Fabric{
		opts:     opts,
		inside:   inside,
		rng:      rand.New(rand.NewPCG(opts.Seed, 1)),
		services: make(map[netip.AddrPort]*net.UDPConn),
	}
	go f.readAnswers()
	return f, nil
}

func listen() (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, eris.Wrap(err, "bind fabric socket")
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}

// Addr is where balancers send answers.
func (f *Fabric) Addr() netip.AddrPort {
	return f.inside.LocalAddr().(*net.UDPAddr).AddrPort()
}

// AddService opens a service address and returns it.
func (f *Fabric) AddService() (netip.AddrPort, error) {
	conn, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	at := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	f.mu.Lock()
	f.services[at] = conn
	f.mu.Unlock()
	go f.readCallers(at, conn)
	return at, nil
}

// SetBalancers replaces the set over which packets are sprayed.
func (f *Fabric) SetBalancers(entries []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = append([]netip.AddrPort(nil), entries...)
}

// Sprayed is how many callers' packets went to balancers.
func (f *Fabric) Sprayed() uint64 {
	return f.sprayed.Load()
}

// Close ends the fabric.
func (f *Fabric) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.services {
		_ = conn.Close()
	}
	return f.inside.Close()
}

func (f *Fabric) readCallers(service netip.AddrPort, conn *net.UDPConn) {
	buf := make([]byte, datagramBytes)
	for {
		n, caller, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		to, delay, ok := f.choose()
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
		send(f.inside, to, p, delay)
	}
}

// choose draws the balancer, the delay and whether the packet survives.
func (f *Fabric) choose() (to netip.AddrPort, delay time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 || f.rng.Float64() < f.opts.Loss {
		return to, 0, false
	}
	to = f.balancers[f.rng.IntN(len(f.balancers))]
	if f.opts.Delay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.opts.Delay)))
	}
	return to, delay, true
}

func (f *Fabric) readAnswers() {
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := f.inside.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p currantturn.Packet
		if entry.ParseProxied(buf[:n], &p) != nil {
			f.dropped.Add(1)
			continue
		}
		f.answer(&p)
	}
}

// answer sends a balancer's answer on; the header's source is the service.
func (f *Fabric) answer(p *currantturn.Packet) {
	service, caller := p.Flow.Caller, p.Flow.Service
	f.mu.Lock()
	conn := f.services[service]
	lost := f.rng.Float64() < f.opts.Loss
	var delay time.Duration
	if f.opts.Delay > 0 {
		delay = time.Duration(f.rng.Int64N(int64(f.opts.Delay)))
	}
	f.mu.Unlock()
	if conn == nil || lost {
		f.dropped.Add(1)
		return
	}
	send(conn, caller, append([]byte(nil), p.Payload...), delay)
}

func send(conn *net.UDPConn, to netip.AddrPort, p []byte, delay time.Duration) {
	if delay <= 0 {
		_, _ = conn.WriteToUDPAddrPort(p, to)
		return
	}
	time.AfterFunc(delay, func() { _, _ = conn.WriteToUDPAddrPort(p, to) })
}
