package core_test

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/statesync"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/transport/published"
	"github.com/currantturn/currantturn/platform"
	"github.com/currantturn/currantturn/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// flowStore is a store that holds one configuration and one registration.
type flowStore struct {
	routing      *currantturn.Routing
	registration *currantturn.Registration
	drain        *currantturn.DrainOrder // nil if there is none
	down         atomic.Bool
}

func (s *flowStore) Unreadable() int { return 0 }

func (s *flowStore) listing(items ...currantturn.Item) (currantturn.Listing, error) {
	if s.down.Load() {
		return currantturn.Listing{}, currantturn.ErrUnavailable
	}
	return currantturn.Listing{Position: currantturn.Position{Revision: 5}, Items: items}, nil
}

func (s *flowStore) Configuration(context.Context) (currantturn.Listing, error) {
	if s.drain != nil {
		return s.listing(currantturn.Item{Routing: s.routing}, currantturn.Item{Drain: s.drain})
	}
	return s.listing(currantturn.Item{Routing: s.routing})
}

func (s *flowStore) Registrations(context.Context) (currantturn.Listing, error) {
	return s.listing(currantturn.Item{Registration: s.registration})
}

func (s *flowStore) Watch(ctx context.Context, _ uint64, wait time.Duration) (currantturn.Listing, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return s.listing()
}

// givenPorts are the ports that freePort has returned.
var givenPorts = map[uint16]bool{}

// freePort returns a UDP port that was free on 127.0.0.1, another one with each call; the
// tests use it on several loopback addresses.
func freePort() uint16 {
	for {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		Expect(err).NotTo(HaveOccurred())
		port := uint16(c.LocalAddr().(*net.UDPAddr).Port)
		Expect(c.Close()).To(Succeed())
		if !givenPorts[port] {
			givenPorts[port] = true
			return port
		}
	}
}

func at(ip string, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(ip), port)
}

// flowPacket encodes a packet of a caller or a backend server.
func flowPacket(from, to netip.AddrPort, flags byte, seq, ack uint32, data string) []byte {
	p := platformtest.Packet{From: from, To: to, Flags: flags, Sequence: seq, Acked: ack, Data: data}
	return p.Encode()
}

var _ = Describe("a balancer and an agent of opaque flows", func() {
	const syn, ack = platformtest.Open, platformtest.Ack
	var (
		link, callers, outbound = uint16(0), uint16(0), uint16(0)
		service                 = netip.MustParseAddrPort("198.18.0.1:443")
		caller                  netip.AddrPort
		store                   *flowStore
		agent                   *core.FlowAgent
		backend, client         *net.UDPConn
		report                  = func(currantturn.Event) {}
	)
	listen := func(a netip.AddrPort) *net.UDPConn {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c
	}
	receive := func(c *net.UDPConn) (p currantturn.Packet) {
		GinkgoHelper()
		b := make([]byte, 2048)
		Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		n, _, err := c.ReadFromUDPAddrPort(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(platform.Packets{}.Decode(b[:n], currantturn.ToBackend, &p)).To(Succeed())
		return p
	}
	startBalancer := func(ip string, seeds ...netip.AddrPort) *core.FlowBalancer {
		state := httptest.NewUnstartedServer(nil)
		ln, err := net.Listen("tcp4", at(ip, callers).String())
		Expect(err).NotTo(HaveOccurred())
		b, err := core.StartFlowBalancer(core.FlowBalancerOptions{
			Codec: platform.Packets{}, Store: store, Link: at(ip, link), Callers: at(ip, callers), State: at(ip, callers),
			Seeds: seeds, ApplyWithin: 3 * time.Second, Seed: 1, Pull: published.Read, Clock: time.Now, Report: report,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		state.Listener = ln
		state.Config.Handler = published.Handler(func() statesync.State { return b.Published() })
		state.Start()
		DeferCleanup(state.Close)
		return b
	}

	BeforeEach(func() {
		link, callers, outbound = freePort(), freePort(), freePort()
		caller = at("127.0.4.1", 40001)
		backend, client = listen(at("127.0.3.1", 0)), listen(at("127.0.4.1", callers))
		store = &flowStore{
			routing: &currantturn.Routing{Version: 2, Routes: []currantturn.FlowRoute{{
				Address: service, Shares: []currantturn.Share{{Service: "verify", Weight: 1}},
			}}},
			registration: &currantturn.Registration{
				ID: "i-1", Service: "verify", Address: at("127.0.3.1", 8080), Slots: 2, State: currantturn.BackendActive,
			},
		}
		var err error
		agent, err = core.StartFlowAgent(core.FlowAgentOptions{
			Name: "i-1", Codec: platform.Packets{}, Service: "verify", Link: at("127.0.3.1", link),
			Outbound: at("127.0.3.1", outbound), Backend: backend.LocalAddr().(*net.UDPAddr).AddrPort(),
			CallerPort: callers, FreshStart: true, Clock: time.Now, Report: report,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = agent.Close() })
	})

	waitUntilServing := func(b *core.FlowBalancer) {
		GinkgoHelper()
		Eventually(b.Serving).WithTimeout(5 * time.Second).Should(BeTrue())
	}
	send := func(to string, p []byte) {
		GinkgoHelper()
		_, err := client.WriteToUDPAddrPort(p, at(to, callers))
		Expect(err).NotTo(HaveOccurred())
	}

	It("forward a flow in both directions, also through a balancer that did not see its start", func() {
		first := startBalancer("127.0.2.1")
		second := startBalancer("127.0.2.2", at("127.0.2.1", callers))
		waitUntilServing(first)
		waitUntilServing(second)

		send("127.0.2.1", flowPacket(caller, service, syn, 100, 0, ""))
		p := receive(backend)
		Expect(p.Mark).To(Equal(currantturn.MarkOpening))
		_, err := backend.WriteToUDPAddrPort(flowPacket(service, caller, syn|ack, 500, 101, ""), at("127.0.3.1", outbound))
		Expect(err).NotTo(HaveOccurred())
		Expect(receive(client).Sequence).To(Equal(uint32(500)))

		send("127.0.2.2", flowPacket(caller, service, ack, 101, 501, "request"))
		p = receive(backend)
		Expect(string(p.Payload[32:])).To(Equal("request"))
		_, err = backend.WriteToUDPAddrPort(flowPacket(service, caller, ack, 501, 108, "answer"), at("127.0.3.1", outbound))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(receive(client).Payload[32:])).To(Equal("answer"))
	})

	It("reset a flow that no agent holds, and a flow to an address without a route", func() {
		waitUntilServing(startBalancer("127.0.2.1"))
		for _, to := range []netip.AddrPort{service, netip.MustParseAddrPort("198.18.0.9:443")} {
			send("127.0.2.1", flowPacket(caller, to, ack, 101, 501, "request"))
			Expect(receive(client).Mark).To(Equal(currantturn.MarkReset))
		}
	})

	It("read the published state from each other while the store is unavailable", func() {
		first := startBalancer("127.0.2.1")
		waitUntilServing(first)
		store.down.Store(true)
		waitUntilServing(startBalancer("127.0.2.2", at("127.0.2.1", callers)))
	})

	It("open no flow in a drained failure domain, which the agent is told too", func() {
		store.registration.FailureDomain = "upanga"
		store.drain = &currantturn.DrainOrder{FailureDomain: "upanga"}
		waitUntilServing(startBalancer("127.0.2.1"))
		second := startBalancer("127.0.2.2", at("127.0.2.1", callers))
		waitUntilServing(second)
		Expect(second.Published().Drained).To(HaveLen(1))
		for _, to := range []string{"127.0.2.1", "127.0.2.2"} {
			send(to, flowPacket(caller, service, syn, 100, 0, ""))
			Expect(receive(client).Mark).To(Equal(currantturn.MarkReset))
		}
		Eventually(func() bool { return agent.Drained(time.Now()) }).WithTimeout(5 * time.Second).Should(BeTrue())
		Expect(second.PublishedCounters().Drained).To(Equal(1))
	})

	It("leave the routers' rotation before they stop, and still forward packets", func() {
		b := startBalancer("127.0.2.1")
		waitUntilServing(b)
		b.MarkStopping()
		Expect(b.Serving()).To(BeFalse())
		send("127.0.2.1", flowPacket(caller, service, syn, 100, 0, ""))
		Expect(receive(backend).Mark).To(Equal(currantturn.MarkOpening))
	})

	It("hand every request to the backend server before the agent stops", func(ctx SpecContext) {
		store.registration.Slots = 1
		waitUntilServing(startBalancer("127.0.1.1"))
		callers := []netip.AddrPort{caller, at("127.0.4.1", 40002)}
		for n, c := range callers {
			send("127.0.1.1", flowPacket(c, service, syn, 100, 0, ""))
			p := receive(backend)
			_, err := backend.WriteToUDPAddrPort(flowPacket(service, c, syn|ack, 500, 101, ""), at("127.0.3.1", outbound))
			Expect(err).NotTo(HaveOccurred())
			Expect(p.Flow.Caller).To(Equal(callers[n]))
			receive(client)
		}
		for _, c := range callers {
			send("127.0.1.1", flowPacket(c, service, ack, 101, 501, "request"))
			Eventually(func() uint64 { return agent.Counters().Waited + uint64(agent.Counters().Running) }).Should(BeNumerically(">", 0))
		}
		Expect(receive(backend).Flow.Caller).To(Equal(callers[0]))
		Eventually(func() uint64 { return agent.Counters().Waited }).Should(Equal(uint64(1)))
		began := time.Now()
		Expect(agent.Stop(ctx)).To(Succeed())
		Expect(time.Since(began)).To(BeNumerically(">", 900*time.Millisecond), "the first request is in progress")
		Expect(receive(backend).Flow.Caller).To(Equal(callers[1]))
	})

	It("keep forwarding after datagrams that are not packets", func() {
		waitUntilServing(startBalancer("127.0.2.1"))
		for _, junk := range []string{"", "x", strings.Repeat("y", 1500)} {
			send("127.0.2.1", []byte(junk))
			c, err := net.Dial("udp4", "127.0.3.1:"+strconv.Itoa(int(link)))
			Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte(junk))
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Close()).To(Succeed())
		}
		send("127.0.2.1", flowPacket(caller, service, syn, 100, 0, ""))
		Expect(receive(backend).Mark).To(Equal(currantturn.MarkOpening))
	})
})
