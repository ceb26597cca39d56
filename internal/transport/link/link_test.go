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

// note is a control message of the tests.
type note struct {
	Text string `cbor:"text"`
}

func (note) Kind() currantturn.Kind { return "link_test_note" }

func init() { message.Register[note]() }

// plain is a sealer that authenticates nothing.
type plain struct{}

func (plain) Seal(dst, p []byte) []byte { return append(dst, p...) }

func (plain) Open(_ time.Time, p []byte) ([]byte, error) { return p, nil }

type arrival struct {
	from netip.AddrPort
	text string
}

// peer is a link that keeps what arrives.
type peer struct {
	*link.Link
	got    chan arrival
	mu     sync.Mutex
	now    time.Time
	events []int
}

func (p *peer) ReceiveEnvelope(from netip.AddrPort, e *currantturn.Envelope) {
	p.got <- arrival{from, string(e.Packet.Payload)}
}

func (p *peer) ReceiveMessage(from netip.AddrPort, m currantturn.Message) {
	p.got <- arrival{from, m.(note).Text}
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

func noNames() envelope.Names { return nil }

func open(sealer currantturn.Sealer, seed byte) *peer {
	p := &peer{got: make(chan arrival, 8192), now: start}
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

func packet(payload string) *currantturn.Envelope {
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

// tap is a socket in the place of a process, as an attacker on the path has it.
func tap() (*net.UDPConn, func() []byte) {
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
	It("carries envelopes and messages from authenticated senders", func() {
		a, b := open(nil, 1), open(nil, 2)
		Expect(a.SendEnvelope(b.Self(), packet("payload"))).To(Succeed())
		Eventually(b.got).Should(Receive(Equal(arrival{a.Self(), "payload"})))
		Expect(b.SendMessage(a.Self(), note{"hello"})).To(Succeed())
		Eventually(a.got).Should(Receive(Equal(arrival{b.Self(), "hello"})))
		Expect(a.Counters()).To(And(HaveField("Sent", uint64(1)), HaveField("Received", uint64(1))))
		Expect(b.Counters().Control).To(HaveKeyWithValue(currantturn.Kind("link_test_note"), HaveField("Messages", uint64(1))))
	})

	It("drops, counts and reports what an attacker sends", func() {
		a, b := open(nil, 1), open(nil, 2)
		conn, read := tap()
		Expect(a.SendEnvelope(addressOf(conn), packet("for another process"))).To(Succeed())
		misdirected := read()
		_, err := conn.WriteToUDPAddrPort(misdirected, b.Self())
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.Counters).Should(HaveField("Misdirected", uint64(1)))

		source := addressOf(conn)
		b.Take(misdirected, source)
		Expect(a.SendEnvelope(addressOf(conn), packet("forged below"))).To(Succeed())
		forged := read()
		forged[len(forged)-1]++
		b.Take(forged, source)
		b.Take([]byte("not a datagram of ours"), source)
		b.Take(make([]byte, link.MaxDatagramBytes+1), source)
		Expect(b.Counters()).To(And(
			HaveField("Replayed", uint64(1)), HaveField("Unauthenticated", uint64(1)),
			HaveField("Malformed", uint64(1)), HaveField("TooLarge", uint64(1)), HaveField("Received", uint64(0)),
		))
		for range 100 {
			b.Take([]byte("flood"), source)
		}
		Expect(b.Counters().Malformed).To(Equal(uint64(101)))
		Expect(b.got).To(BeEmpty())
		b.mu.Lock()
		defer b.mu.Unlock()
		Expect(b.events).To(Equal([]int{
			event.DatagramMisdirected, event.DatagramReplayed, event.DatagramForged,
			event.DatagramMalformed, event.DatagramTooLarge,
		}))
	})

	It("reads past oversized datagrams on the socket", func() {
		a, b := open(nil, 1), open(nil, 2)
		conn, _ := tap()
		_, err := conn.WriteToUDPAddrPort(make([]byte, 8000), b.Self())
		Expect(err).NotTo(HaveOccurred())
		Eventually(b.Counters).Should(HaveField("TooLarge", uint64(1)))
		Expect(a.SendMessage(b.Self(), note{"after"})).To(Succeed())
		Eventually(b.got).Should(Receive())
	})

	It("refuses to send what exceeds the path", func() {
		a := open(nil, 1)
		Expect(a.SendEnvelope(a.Self(), packet(string(make([]byte, link.MaxDatagramBytes))))).To(MatchError(currantturn.ErrTooLarge))
		Expect(a.Counters()).To(And(HaveField("Oversized", uint64(1)), HaveField("Sent", uint64(0))))
		Expect(a.events).To(Equal([]int{event.EnvelopeTooLarge}))
	})

	It("needs an address that names the process", func() {
		_, err := link.Open(link.Options{Listen: netip.MustParseAddrPort("0.0.0.0:0")})
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	})

	It("keeps reading after a failed read", func() {
		a, b := open(nil, 1), open(nil, 2)
		Expect(b.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
		Eventually(b.Counters).Should(HaveField("ReadErrors", BeNumerically(">", 0)))
		Expect(b.SetReadDeadline(time.Time{})).To(Succeed())
		Expect(a.SendMessage(b.Self(), note{"still there"})).To(Succeed())
		Eventually(b.got).Should(Receive())
	})

	It("replaces a channel by a fresh socket and answers reach it", func() {
		a, b := open(nil, 1), open(nil, 2)
		Expect(a.Renew(b.Self())).To(Succeed())
		Expect(a.SendMessage(b.Self(), note{"from a fresh socket"})).To(Succeed())
		Eventually(b.got).Should(Receive(Equal(arrival{a.Self(), "from a fresh socket"})))
		Expect(b.Paths()).To(Equal(1))
		Expect(b.SendMessage(a.Self(), note{"back"})).To(Succeed())
		Eventually(a.got).Should(Receive(Equal(arrival{b.Self(), "back"})))
		for range 100 {
			Expect(a.Renew(b.Self())).To(Succeed())
		}
		Expect(a.Paths()).To(Equal(1))
		Expect(a.Counters().Renewed).To(Equal(uint64(101)))
	})

	It("bounds the paths and forgets those that are idle or plain again", func() {
		a := open(plain{}, 1)
		claim := func(n int, source netip.AddrPort) {
			from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1)
			if !source.IsValid() {
				source = from
			}
			a.Take(frame(from, a.Self(), 2, []byte{0x80}), source)
		}
		other := netip.MustParseAddrPort("192.0.2.1:1")
		for n := range link.MaxPaths + 10 {
			claim(n, other)
		}
		Expect(a.Paths()).To(Equal(link.MaxPaths))
		claim(0, netip.AddrPort{})
		Expect(a.Paths()).To(Equal(link.MaxPaths - 1))
		a.mu.Lock()
		a.now = start.Add(link.PathIdle)
		a.mu.Unlock()
		claim(1, other)
		claim(link.MaxPaths+1, other)
		claim(link.MaxPaths+2, other)
		Expect(a.Paths()).To(Equal(3))
	})
})

func frame(from, to netip.AddrPort, kind byte, body []byte) []byte {
	p := []byte{kind}
	for _, a := range []netip.AddrPort{from, to} {
		ip := a.Addr().As16()
		p = binary.BigEndian.AppendUint16(append(p, ip[:]...), a.Port())
	}
	return append(p, body...)
}

type discard struct{}

func (discard) ReceiveEnvelope(netip.AddrPort, *currantturn.Envelope) {}

func (discard) ReceiveMessage(netip.AddrPort, currantturn.Message) {}

// FuzzTake feeds the link frames as a holder of the key could send them.
func FuzzTake(f *testing.F) {
	self := netip.MustParseAddrPort("127.0.0.1:7")
	l, err := link.Open(link.Options{
		Listen: loopback, Advertise: self, Sealer: plain{}, Names: noNames, Clock: func() time.Time { return start },
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	l.Receive(discard{})
	e, _ := envelope.Append(nil, packet("payload"))
	m, _ := message.Encode(note{"hello"})
	f.Add(frame(self, self, 1, e))
	f.Add(frame(self, self, 2, m))
	f.Add(frame(self, self, 3, nil))
	f.Add(frame(self, self, 1, e[:40]))
	f.Add(frame(self, self, 1, nil)[:20:20])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, p []byte) {
		before := l.Counters()
		l.Take(p, self)
		after := l.Counters()
		refused := after.Malformed + after.Misdirected + after.TooLarge - before.Malformed - before.Misdirected - before.TooLarge
		if after.Received-before.Received+refused == 0 || refused > 1 {
			t.Fatalf("a datagram is neither received nor refused once: %+v", after)
		}
	})
}

// BenchmarkPacket measures one packet over loopback: encode, seal, send,
// receive, open, decode.
func BenchmarkPacket(b *testing.B) {
	const inFlight = 64
	ring := seal.Ring{Active: 1, Keys: []seal.Key{{ID: 1, Secret: [seal.SecretBytes]byte{1}}}}
	sealed := func(seed byte) currantturn.Sealer {
		s, _ := seal.New(ring, time.Now, rand.NewChaCha8([32]byte{seed}))
		return s
	}
	for name, sealers := range map[string][]currantturn.Sealer{
		"plain": {plain{}, plain{}}, "sealed": {sealed(1), sealed(2)},
	} {
		b.Run(name, func(b *testing.B) {
			var links []*link.Link
			for _, s := range sealers {
				l, err := link.Open(link.Options{Listen: loopback, Sealer: s, Names: func() envelope.Names { return known{} }, Clock: time.Now})
				if err != nil {
					b.Fatal(err)
				}
				links = append(links, l)
			}
			got := make(signal, inFlight)
			links[1].Start(got, 1)
			e := packet(string(make([]byte, 1200)))
			b.ReportAllocs()
			for b.Loop() {
				for range inFlight {
					if err := links[0].SendEnvelope(links[1].Self(), e); err != nil {
						b.Fatal(err)
					}
				}
				for range inFlight {
					<-got
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

type known struct{}

func (known) Service([]byte) (currantturn.ServiceName, bool) { return "verify", true }

func (known) Backend([]byte) (currantturn.BackendID, bool) { return "", true }

type signal chan struct{}

func (s signal) ReceiveEnvelope(netip.AddrPort, *currantturn.Envelope) { s <- struct{}{} }

func (s signal) ReceiveMessage(netip.AddrPort, currantturn.Message) {}
