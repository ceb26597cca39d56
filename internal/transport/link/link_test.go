package link_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/protocol/envelope"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/protocol/seal"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/link"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLink(t *testing.T) { suite.Run(t, "link") }

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	start    = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

// testMessage is a control message for tests.
type testMessage struct {
	Text string `cbor:"text"`
}

func (testMessage) Kind() currantturn.Kind { return "link_test_note" }

func init() { message.Register[testMessage]() }

// plainSealer is a sealer without authentication.
type plainSealer struct{}

func (plainSealer) Seal(dst, p []byte) []byte { return append(dst, p...) }

func (plainSealer) Open(_ time.Time, p []byte) ([]byte, error) { return p, nil }

// arrival is a received envelope or message: its sender and its text.
type arrival struct {
	from netip.AddrPort
	text string
}

// peer is a link that queues what it receives and records its events.
type peer struct {
	*link.Link
	received chan arrival
	mu       sync.Mutex
	now      time.Time
	events   []int
}

func (p *peer) ReceiveEnvelope(from netip.AddrPort, e *currantturn.Envelope) {
	p.received <- arrival{from, string(e.Packet.Payload)}
}

func (p *peer) ReceiveMessage(from netip.AddrPort, m currantturn.Message) {
	p.received <- arrival{from, m.(testMessage).Text}
}

func (p *peer) clock() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now
}

func (p *peer) report(e currantturn.Event) {
	Expect(event.Check(e)).To(Succeed())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e.Number)
}

// noNames provides no names; it serves tests that decode none.
func noNames() envelope.Names { return nil }

// openPeer opens a started link. A nil sealer means one with a key that all such
// peers share; the seed distinguishes their random numbers.
func openPeer(sealer currantturn.Sealer, seed byte) *peer {
	p := &peer{received: make(chan arrival, 8192), now: start}
	if sealer == nil {
		ring := seal.Ring{Active: 1, Keys: []seal.Key{{ID: 1, Secret: [seal.SecretBytes]byte{1}}}}
		s, err := seal.New(ring, p.clock, rand.NewChaCha8([32]byte{seed}))
		Expect(err).NotTo(HaveOccurred())
		sealer = s
	}
	l, err := link.Open(link.Options{Listen: loopback, Sealer: sealer, Names: noNames, Clock: p.clock, Report: p.report})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	p.Link = l
	l.Start(p, 2)
	return p
}

func testEnvelope(payload string) *currantturn.Envelope {
	return &currantturn.Envelope{
		Direction: currantturn.ToBackend,
		Service:   "verify",
		Balancer:  netip.MustParseAddrPort("127.0.0.1:1"),
		Packet: currantturn.Packet{
			Flow: currantturn.FlowKey{
				Caller:  netip.MustParseAddrPort("10.0.0.1:1"),
				Service: netip.MustParseAddrPort("10.0.0.2:443"),
			},
			Mark:    currantturn.MarkData,
			Payload: []byte(payload),
		},
	}
}

// openInterceptor opens a socket that receives datagrams in place of a process, like an
// attacker on the network path, and returns a function that reads them.
func openInterceptor() (*net.UDPConn, func() []byte) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn, func() []byte {
		GinkgoHelper()
		p := make([]byte, 4096)
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		n, err := conn.Read(p)
		Expect(err).NotTo(HaveOccurred())
		return p[:n]
	}
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

var _ = Describe("link", func() {
	It("delivers envelopes and messages from authenticated senders", func() {
		a, b := openPeer(nil, 1), openPeer(nil, 2)
		Expect(a.SendEnvelope(b.Self(), testEnvelope("payload"))).To(Succeed())
		Eventually(b.received).Should(Receive(Equal(arrival{a.Self(), "payload"})))
		Expect(b.SendMessage(a.Self(), testMessage{"hello"})).To(Succeed())
		Eventually(a.received).Should(Receive(Equal(arrival{b.Self(), "hello"})))
		Expect(a.Counters()).To(And(HaveField("Sent", uint64(1)), HaveField("Received", uint64(1))))
		Expect(b.Counters().Control).To(HaveKeyWithValue(currantturn.Kind("link_test_note"), HaveField("Messages", uint64(1))))
	})

	It("drops, counts and reports misdirected, replayed, forged, malformed and oversized datagrams", func() {
		a, b := openPeer(nil, 1), openPeer(nil, 2)
		conn, read := openInterceptor()
		Expect(a.SendEnvelope(addressOf(conn), testEnvelope("for another process"))).To(Succeed())
		misdirected := read()
		_, err := conn.WriteToUDPAddrPort(misdirected, b.Self())
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.Counters).Should(HaveField("Misdirected", uint64(1)))

		source := addressOf(conn)
		b.HandleDatagram(misdirected, source)
		Expect(a.SendEnvelope(addressOf(conn), testEnvelope("forged below"))).To(Succeed())
		forged := read()
		forged[len(forged)-1]++
		b.HandleDatagram(forged, source)
		b.HandleDatagram([]byte("not a datagram of ours"), source)
		b.HandleDatagram(make([]byte, link.MaxDatagramBytes+1), source)
		Expect(b.Counters()).To(And(
			HaveField("Replayed", uint64(1)), HaveField("Unauthenticated", uint64(1)),
			HaveField("Malformed", uint64(1)), HaveField("TooLarge", uint64(1)), HaveField("Received", uint64(0)),
		))
		for range 100 {
			b.HandleDatagram([]byte("flood"), source)
		}
		Expect(b.Counters().Malformed).To(Equal(uint64(101)))
		Expect(b.received).To(BeEmpty())
		b.mu.Lock()
		defer b.mu.Unlock()
		Expect(b.events).To(Equal([]int{
			event.DatagramMisdirected, event.DatagramReplayed, event.DatagramForged,
			event.DatagramMalformed, event.DatagramTooLarge,
		}))
	})

	It("keeps reading after an oversized datagram", func() {
		a, b := openPeer(nil, 1), openPeer(nil, 2)
		conn, _ := openInterceptor()
		_, err := conn.WriteToUDPAddrPort(make([]byte, 8000), b.Self())
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.Counters).Should(HaveField("TooLarge", uint64(1)))
		Expect(a.SendMessage(b.Self(), testMessage{"after"})).To(Succeed())
		Eventually(b.received).Should(Receive())
	})

	It("refuses to send a datagram larger than the limit", func() {
		a := openPeer(nil, 1)
		Expect(a.SendEnvelope(a.Self(), testEnvelope(string(make([]byte, link.MaxDatagramBytes))))).To(MatchError(currantturn.ErrTooLarge))
		Expect(a.Counters()).To(And(HaveField("Oversized", uint64(1)), HaveField("Sent", uint64(0))))
		Expect(a.events).To(Equal([]int{event.EnvelopeTooLarge}))
	})

	It("refuses an unspecified address without an advertised one", func() {
		_, err := link.Open(link.Options{Listen: netip.MustParseAddrPort("0.0.0.0:0")})
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	})

	It("keeps reading after a failed read", func() {
		a, b := openPeer(nil, 1), openPeer(nil, 2)
		Expect(b.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
		Eventually(b.Counters).Should(HaveField("ReadErrors", BeNumerically(">", 0)))
		Expect(b.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(a.SendMessage(b.Self(), testMessage{"still there"})).To(Succeed())
		Eventually(b.received).Should(Receive())
	})

	It("sends to a peer from a fresh socket and receives answers on it", func() {
		a, b := openPeer(nil, 1), openPeer(nil, 2)
		Expect(a.RenewSocket(b.Self())).To(Succeed())
		Expect(a.SendMessage(b.Self(), testMessage{"from a fresh socket"})).To(Succeed())
		Eventually(b.received).Should(Receive(Equal(arrival{a.Self(), "from a fresh socket"})))
		Expect(b.PathCount()).To(Equal(1))
		Expect(b.SendMessage(a.Self(), testMessage{"back"})).To(Succeed())
		Eventually(a.received).Should(Receive(Equal(arrival{b.Self(), "back"})))
		for range 100 {
			Expect(a.RenewSocket(b.Self())).To(Succeed())
		}
		Expect(a.PathCount()).To(Equal(1))
		Expect(a.Counters().Renewed).To(Equal(uint64(101)))
	})

	It("limits the number of paths and removes those that expired or equal the default again", func() {
		a := openPeer(plainSealer{}, 1)
		// receiveFrom handles a datagram of peer n; a zero source means the peer's own
		// address.
		receiveFrom := func(n int, source netip.AddrPort) {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
			if !source.IsValid() {
				source = from
			}
			a.HandleDatagram(encodeFrame(from, a.Self(), 2, []byte{0x80}), source)
		}
		observedSource := netip.MustParseAddrPort("192.0.2.1:1")
		for n := range link.MaxPaths + 10 {
			receiveFrom(n, observedSource)
		}
		Expect(a.PathCount()).To(Equal(link.MaxPaths))
		receiveFrom(0, netip.AddrPort{})
		Expect(a.PathCount()).To(Equal(link.MaxPaths - 1))
		a.mu.Lock()
		a.now = start.Add(link.SourceTTL)
		a.mu.Unlock()
		receiveFrom(1, observedSource)
		receiveFrom(link.MaxPaths+1, observedSource)
		receiveFrom(link.MaxPaths+2, observedSource)
		Expect(a.PathCount()).To(Equal(3))
	})
})

// encodeFrame returns the wire form of a frame.
func encodeFrame(from, to netip.AddrPort, frameType byte, body []byte) []byte {
	p := []byte{frameType}
	for _, a := range []netip.AddrPort{from, to} {
		ip := a.Addr().As16()
		p = binary.BigEndian.AppendUint16(append(p, ip[:]...), a.Port())
	}
	return append(p, body...)
}

// discardReceiver ignores what it receives.
type discardReceiver struct{}

func (discardReceiver) ReceiveEnvelope(netip.AddrPort, *currantturn.Envelope) {}

func (discardReceiver) ReceiveMessage(netip.AddrPort, currantturn.Message) {}

// FuzzHandleDatagram checks that any frame that a holder of the key could send is
// received, or dropped once.
func FuzzHandleDatagram(f *testing.F) {
	self := netip.MustParseAddrPort("127.0.0.1:7")
	l, err := link.Open(link.Options{
		Listen: loopback, Advertise: self, Sealer: plainSealer{}, Names: noNames, Clock: func() time.Time { return start },
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	l.SetReceiver(discardReceiver{})
	e, _ := envelope.Append(nil, testEnvelope("payload"))
	m, _ := message.Encode(testMessage{"hello"})
	f.Add(encodeFrame(self, self, 1, e))
	f.Add(encodeFrame(self, self, 2, m))
	f.Add(encodeFrame(self, self, 3, nil))
	f.Add(encodeFrame(self, self, 1, e[:40]))
	f.Add(encodeFrame(self, self, 1, nil)[:20:20])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, p []byte) {
		before := l.Counters()
		l.HandleDatagram(p, self)
		after := l.Counters()
		dropped := after.Malformed + after.Misdirected + after.TooLarge - before.Malformed - before.Misdirected - before.TooLarge
		if after.Received-before.Received+dropped == 0 || dropped > 1 {
			t.Fatalf("datagram was neither received nor dropped, or was dropped twice: counters %+v", after)
		}
	})
}

// BenchmarkPacket measures the whole path of one packet over loopback: encode,
// authenticate, send, receive, verify and decode.
func BenchmarkPacket(b *testing.B) {
	const inFlight = 64
	ring := seal.Ring{Active: 1, Keys: []seal.Key{{ID: 1, Secret: [seal.SecretBytes]byte{1}}}}
	newSealer := func(seed byte) currantturn.Sealer {
		s, _ := seal.New(ring, time.Now, rand.NewChaCha8([32]byte{seed}))
		return s
	}
	for name, sealers := range map[string][]currantturn.Sealer{
		"plain": {plainSealer{}, plainSealer{}}, "sealed": {newSealer(1), newSealer(2)},
	} {
		b.Run(name, func(b *testing.B) {
			var links []*link.Link
			for _, s := range sealers {
				l, err := link.Open(link.Options{Listen: loopback, Sealer: s, Names: func() envelope.Names { return fixedNames{} }, Clock: time.Now})
				if err != nil {
					b.Fatal(err)
				}
				links = append(links, l)
			}
			received := make(notifier, inFlight)
			links[1].Start(received, 1)
			e := testEnvelope(string(make([]byte, 1200)))
			b.ReportAllocs()
			for b.Loop() {
				for range inFlight {
					if err := links[0].SendEnvelope(links[1].Self(), e); err != nil {
						b.Fatal(err)
					}
				}
				for range inFlight {
					<-received
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/inFlight, "ns/packet")
			b.StopTimer()
			for _, l := range links {
				_ = l.Close()
			}
		})
	}
}

// fixedNames accepts every name, so that decoding does not allocate.
type fixedNames struct{}

func (fixedNames) Service([]byte) (currantturn.ServiceName, bool) { return "verify", true }

func (fixedNames) Backend([]byte) (currantturn.BackendID, bool) { return "", true }

// notifier signals each received envelope.
type notifier chan struct{}

func (s notifier) ReceiveEnvelope(netip.AddrPort, *currantturn.Envelope) { s <- struct{}{} }

func (s notifier) ReceiveMessage(netip.AddrPort, currantturn.Message) {}
