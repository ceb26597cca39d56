package entry_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/entry"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntry(t *testing.T) { suite.Run(t, "entry") }

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	caller   = netip.MustParseAddrPort("192.0.2.7:5000")
	service  = netip.MustParseAddrPort("198.51.100.1:443")
)

// openSocket opens a loopback socket for the length of a spec.
func openSocket() *net.UDPConn {
	GinkgoHelper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return conn
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// readDatagram returns the next datagram of a socket.
func readDatagram(c *net.UDPConn) []byte {
	GinkgoHelper()
	p := make([]byte, 4096)
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	n, err := c.Read(p)
	Expect(err).NotTo(HaveOccurred())
	return p[:n]
}

// serve runs an entry and returns a channel with copies of the received packets.
func serve(e currantturn.Entry) <-chan currantturn.Packet {
	received := make(chan currantturn.Packet, 16)
	done := make(chan error, 1)
	go func() {
		done <- e.Serve(func(p *currantturn.Packet) {
			q := *p
			q.Payload = bytes.Clone(p.Payload)
			received <- q
		})
	}()
	DeferCleanup(func() {
		Expect(e.Close()).To(Succeed())
		Expect(<-done).To(Succeed())
	})
	return received
}

var _ = Describe("direct entry", func() {
	It("receives packets at a service address, answers from it, and closes its socket when it is no longer listed", func() {
		// The port is reserved by a socket on another loopback address, so that no other
		// test is assigned it.
		address := netip.AddrPortFrom(netip.MustParseAddr("127.83.17.1"), addressOf(openSocket()).Port())
		d := entry.NewDirect()
		Expect(d.Listen([]netip.AddrPort{address})).To(Succeed())
		received := serve(d)
		c := openSocket()
		_, err := c.WriteToUDPAddrPort([]byte("hello"), address)
		Expect(err).NotTo(HaveOccurred())
		var p currantturn.Packet
		Eventually(received).Should(Receive(&p))
		Expect(p.Flow).To(Equal(currantturn.FlowKey{Caller: addressOf(c), Service: address}))
		Expect(p.Payload).To(Equal([]byte("hello")))
		Expect(d.Write(&p)).To(Succeed())
		Expect(readDatagram(c)).To(Equal([]byte("hello")))

		_, err = c.WriteToUDPAddrPort(make([]byte, 3000), address)
		Expect(err).NotTo(HaveOccurred())
		Eventually(d.Counters).Should(HaveField("TooLarge", uint64(1)))
		Expect(received).To(BeEmpty())

		Expect(d.Listen(nil)).To(Succeed())
		Expect(d.Write(&p)).To(MatchError(currantturn.ErrUnavailable))
		Expect(d.Counters()).To(Equal(entry.Counters{Received: 1, TooLarge: 1, Written: 1, WriteErrors: 1}))
	})
})

var _ = Describe("proxy entry", func() {
	It("receives packets only from the fabric and sends answers to it", func() {
		fabric, stranger := openSocket(), openSocket()
		x, err := entry.OpenProxy(addressOf(fabric), loopback)
		Expect(err).NotTo(HaveOccurred())
		received := serve(x)
		proxied, err := entry.AppendProxied(nil, caller, service, []byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		for _, p := range [][]byte{[]byte("no header"), make([]byte, 3000), proxied} {
			_, err = fabric.WriteToUDPAddrPort(p, x.Addr())
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = stranger.WriteToUDPAddrPort(proxied, x.Addr())
		Expect(err).NotTo(HaveOccurred())
		var p currantturn.Packet
		Eventually(received).Should(Receive(&p))
		Expect(p.Flow).To(Equal(currantturn.FlowKey{Caller: caller, Service: service}))
		Expect(p.Payload).To(Equal([]byte("hello")))
		Expect(x.Write(&p)).To(Succeed())
		var answer currantturn.Packet
		Expect(entry.ParseProxied(readDatagram(fabric), &answer)).To(Succeed())
		Expect(answer.Flow).To(Equal(currantturn.FlowKey{Caller: service, Service: caller}))
		Eventually(x.Counters).Should(Equal(entry.Counters{Received: 1, Foreign: 1, Malformed: 1, TooLarge: 1, Written: 1}))
		Expect(received).To(BeEmpty())
	})

	It("refuses truncated headers, version 1 headers and headers without addresses", func() {
		proxied, err := entry.AppendProxied(nil, caller, service, nil)
		Expect(err).NotTo(HaveOccurred())
		var p currantturn.Packet
		for n := range proxied {
			Expect(entry.ParseProxied(proxied[:n], &p)).To(MatchError(currantturn.ErrMalformed), "%d bytes", n)
		}
		Expect(entry.ParseProxied([]byte("PROXY TCP4 192.0.2.7 198.51.100.1 1 2\r\n"), &p)).To(MatchError(currantturn.ErrMalformed))
		Expect(entry.ParseProxied([]byte("\r\n\r\n\x00\r\nQUIT\n\x20\x00\x00\x00"), &p)).To(MatchError(currantturn.ErrMalformed))
	})

	It("refuses to open without a listening address", func() {
		_, err := entry.OpenProxy(caller)
		Expect(err).To(HaveOccurred())
	})
})

var _ = DescribeTable("mark of a datagram", func(p []byte, mark currantturn.Mark) {
	Expect(entry.MarkOf(p)).To(Equal(mark))
},
	Entry("empty", nil, currantturn.MarkNone),
	Entry("fixed bit not set", []byte{0x00, 1}, currantturn.MarkNone),
	Entry("short header", []byte{0x40, 1}, currantturn.MarkData),
	Entry("truncated long header", []byte{0xc0, 0, 0, 0}, currantturn.MarkNone),
	Entry("Initial of version 1", []byte{0xc0, 0, 0, 0, 1}, currantturn.MarkOpening),
	Entry("0-RTT of version 1", []byte{0xd0, 0, 0, 0, 1}, currantturn.MarkData),
	Entry("Handshake of version 1", []byte{0xe0, 0, 0, 0, 1}, currantturn.MarkData),
	Entry("Initial of version 2", []byte{0xd0, 0x6b, 0x33, 0x43, 0xcf}, currantturn.MarkOpening),
	Entry("Retry of version 2", []byte{0xc0, 0x6b, 0x33, 0x43, 0xcf}, currantturn.MarkData),
)

// FuzzParseProxied checks that a decoded datagram has both addresses and ends with
// its payload.
func FuzzParseProxied(f *testing.F) {
	for _, a := range []netip.AddrPort{service, netip.MustParseAddrPort("[2001:db8::1]:443")} {
		from := caller
		if a.Addr().Is6() {
			from = netip.MustParseAddrPort("[2001:db8::2]:1")
		}
		p, err := entry.AppendProxied(nil, from, a, []byte{0xc0, 0, 0, 0, 1})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(p)
	}
	f.Add([]byte("PROXY UNKNOWN\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var p currantturn.Packet
		if entry.ParseProxied(b, &p) != nil {
			return
		}
		if !bytes.HasSuffix(b, p.Payload) || !p.Flow.Caller.IsValid() || !p.Flow.Service.IsValid() {
			t.Fatalf("invalid packet %+v decoded from %x", p, b)
		}
	})
}
