package flowconn_test

import (
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/flowconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFlowconn(t *testing.T) { suite.Run(t, "flowconn") }

var (
	caller  = netip.MustParseAddrPort("192.0.2.7:5000")
	service = netip.MustParseAddrPort("198.51.100.1:443")
)

var _ = Describe("connection", func() {
	var (
		c    *flowconn.Conn
		to   netip.AddrPort
		sent []byte
	)
	BeforeEach(func() {
		c = flowconn.New(service, func(caller netip.AddrPort, p []byte) { to, sent = caller, p })
	})

	It("reads delivered packets in order, with their caller's address", func() {
		c.Deliver(caller, []byte("one"))
		c.Deliver(caller, []byte("two"))
		p := make([]byte, 100)
		for _, want := range []string{"one", "two"} {
			n, from, err := c.ReadFrom(p)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(p[:n])).To(Equal(want))
			Expect(from).To(Equal(net.UDPAddrFromAddrPort(caller)))
		}
		Expect(c.LocalAddr()).To(Equal(net.UDPAddrFromAddrPort(service)))
	})

	It("copies a delivered packet", func() {
		buf := []byte("one")
		c.Deliver(caller, buf)
		copy(buf, "two")
		p := make([]byte, 100)
		n, _, err := c.ReadFrom(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(p[:n])).To(Equal("one"))
	})

	It("passes answers to the writer with an unmapped caller address and refuses other address types", func() {
		n, err := c.WriteTo([]byte("answer"), &net.UDPAddr{IP: net.IPv4(192, 0, 2, 7), Port: 5000})
		Expect(n, err).To(Equal(6))
		Expect(to).To(Equal(caller))
		Expect(sent).To(Equal([]byte("answer")))
		_, err = c.WriteTo(nil, &net.TCPAddr{})
		Expect(err).To(HaveOccurred())
		Expect(c.Counters().Answered).To(Equal(uint64(1)))
	})

	It("drops and counts packets while the queue is full, and accepts packets again afterwards", func() {
		for range 5000 {
			c.Deliver(caller, []byte("flood"))
		}
		Expect(c.Counters()).To(Equal(flowconn.Counters{Delivered: 4096, Dropped: 904}))
		_, _, err := c.ReadFrom(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		c.Deliver(caller, []byte("room again"))
		Expect(c.Counters().Delivered).To(Equal(uint64(4097)))
	})

	It("ends a pending read at the deadline, and reads again after the deadline is removed", func() {
		read := make(chan error, 1)
		go func() {
			_, _, err := c.ReadFrom(make([]byte, 100))
			read <- err
		}()
		time.Sleep(10 * time.Millisecond) // usually enough for the read to be pending; the test passes either way
		Expect(c.SetDeadline(time.Unix(1, 0))).To(Succeed())
		Eventually(read).Should(Receive(MatchError(os.ErrDeadlineExceeded)))
		Expect(c.SetReadDeadline(time.Time{})).To(Succeed())
		c.Deliver(caller, []byte("one"))
		_, _, err := c.ReadFrom(make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
	})

	It("ends a pending read and refuses writes when it is closed", func() {
		read := make(chan error, 1)
		go func() {
			_, _, err := c.ReadFrom(make([]byte, 100))
			read <- err
		}()
		Expect(c.Close()).To(Succeed())
		Expect(c.Close()).To(Succeed())
		Eventually(read).Should(Receive(MatchError(net.ErrClosed)))
		_, err := c.WriteTo(nil, net.UDPAddrFromAddrPort(caller))
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
