package main

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/platform"
	"github.com/currantturn/currantturn/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const stdoutSettings = `[process]
role = flow_agent
name = verify-0
failure_domain = a
[log]
format = json
level = debug
[relay]
link_address = %s
readiness_address = %s
outbound_address = %s
caller_address = %s
backend_address = %s
service = verify
fresh_start = true
`

var _ = Describe("a process whose standard output is not read", func() {
	It("continues to forward packets", func() {
		backend, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer backend.Close()
		link, readiness := freePort("udp"), freePort("tcp")
		settings := fmt.Sprintf(stdoutSettings, link, readiness, freePort("udp"), freePort("udp"), backend.LocalAddr())
		r, w, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		// Fill the pipe before the process writes its first line.
		Expect(w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		for err == nil {
			_, err = w.Write(make([]byte, 4096))
		}
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		launchProcess("flow_agent", settings, w)
		Expect(w.Close()).To(Succeed())
		Eventually(func() (string, error) { return get(readiness, platform.ReadinessPath) }, waitTimeout).Should(HavePrefix("200"))

		// Each packet for another service causes a log line.
		balancer, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(link))
		Expect(err).NotTo(HaveOccurred())
		defer balancer.Close()
		send := func(n int, service currantturn.ServiceName) {
			p := platformtest.Packet{
				From:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(1024+n)),
				To:    netip.MustParseAddrPort("198.18.0.1:443"),
				Flags: platformtest.Open,
			}
			_, err := balancer.Write(relay.AppendPacket(nil, &currantturn.Envelope{
				Intent: currantturn.IntentPlace, Service: service, Packet: currantturn.Packet{Payload: p.Encode()},
			}))
			Expect(err).NotTo(HaveOccurred())
		}
		for n := range 100 {
			send(n, "reports")
		}
		buffer := make([]byte, 2048)
		Eventually(func() (byte, error) {
			send(1000, "verify")
			Expect(backend.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			n, err := backend.Read(buffer)
			if err != nil {
				return 0, err
			}
			p, _ := platformtest.Decode(buffer[:n])
			return p.Flags, nil
		}, waitTimeout).Should(Equal(byte(platformtest.Open)))
	})
})
