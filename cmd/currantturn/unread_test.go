package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
	"github.com/currantturn/currantturn/platform"
	"github.com/currantturn/currantturn/platform/standin"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const unreadSettings = `[process]
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

var _ = Describe("a process whose standard output nobody reads", func() {
	It("goes on with packets", func() {
		dir := GinkgoT().TempDir()
		binary, path := filepath.Join(dir, "currantturn"), filepath.Join(dir, "agent.ini")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		backend, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		Expect(err).NotTo(HaveOccurred())
		defer backend.Close()
		link, ready := freePort("udp"), freePort("tcp")
		settings := fmt.Sprintf(unreadSettings, link, ready, freePort("udp"), freePort("udp"), backend.LocalAddr())
		Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
		r, w, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		// The pipe is full before the process writes its first line.
		Expect(w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		for err == nil {
			_, err = w.Write(make([]byte, 4096))
		}
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		cmd := exec.Command(binary, "flow_agent", "--settings", path)
		cmd.Stdout, cmd.Stderr = w, w
		Expect(cmd.Start()).To(Succeed())
		Expect(w.Close()).To(Succeed())
		defer func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait() // it was killed
		}()
		Eventually(func() error {
			answer, err := http.Get("http://" + ready.String() + platform.ReadinessPath)
			if err == nil {
				_ = answer.Body.Close()
			}
			return err
		}, patient).Should(Succeed())

		// Each packet for another service is an event.
		balancer, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(link))
		Expect(err).NotTo(HaveOccurred())
		defer balancer.Close()
		send := func(n int, service currantturn.ServiceName) {
			p := standin.Packet{
				From:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(1024+n)),
				To:    netip.MustParseAddrPort("198.18.0.1:443"),
				Flags: standin.Open,
			}
			_, err := balancer.Write(relay.AppendPacket(nil, &currantturn.Envelope{
				Intent: currantturn.IntentPlace, Service: service, Packet: currantturn.Packet{Payload: p.Encode()},
			}))
			Expect(err).NotTo(HaveOccurred())
		}
		for n := range 100 {
			send(n, "reports")
		}
		got := make([]byte, 2048)
		Eventually(func() (byte, error) {
			send(1000, "verify")
			Expect(backend.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			n, err := backend.Read(got)
			if err != nil {
				return 0, err
			}
			p, _ := standin.Decode(got[:n])
			return p.Flags, nil
		}, patient).Should(Equal(byte(standin.Open)))
	})
})
