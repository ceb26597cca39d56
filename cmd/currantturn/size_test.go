package main

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/currantturn/currantturn/platform/platformtest"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const sizeSettings = `[process]
role = flow_balancer
name = balancer-0
failure_domain = a
[log]
format = json
[store]
address = %s
[relay]
link_address = %s
readiness_address = %s
caller_address = %s
state_address = %s
metrics_address = %s
`

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range bytes.Lines(text) {
		if v, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			kilobytes, err := strconv.Atoi(string(bytes.Fields(v)[0]))
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	return 0
}

var _ = Describe("a balancer of opaque flows at the fleet size expected in two years", func() {
	DescribeTable("stays below 64 MB with 9,600 registrations and 470 routes while registrations change", func(large int) {
		const backends, routes, limit = 9600, 470, 64 << 20
		store := platformtest.NewStore()
		c := platformtest.Configuration{Version: 1, Limits: map[string]int{"idle_timeout_ms": 30000}}
		for n := range routes {
			c.Routes = append(c.Routes, platformtest.Route{
				Hostname: fmt.Sprintf("198.18.%d.%d", n>>8, n&255), Prefix: "/443/",
				Service: fmt.Sprintf("service%d", n%20), TargetLatencyMS: 120, TimeoutMS: 800,
			})
		}
		store.Configure(c)
		register := func(n int, state string) {
			store.Register(fmt.Sprintf("i-%010x", n), platformtest.Registration{
				Service: fmt.Sprintf("service%d", n%20), Address: fmt.Sprintf("127.%d.%d.%d:8080", n>>16+101, n>>8&255, n&255),
				Zone: fmt.Sprintf("domain%d", n%5), MaxConcurrency: 3, State: state,
			})
		}
		for n := range backends {
			register(n, "ready")
		}
		for n := range large {
			store.Write(fmt.Sprintf("servers/a-foreign-%03d", n), bytes.Repeat([]byte("["), 1_000_000))
		}
		server := httptest.NewServer(store.Handler(func() platformtest.Mode { return platformtest.Normal }))
		defer server.Close()
		metrics := freePort("tcp")
		settings := fmt.Sprintf(sizeSettings, netip.MustParseAddrPort(server.Listener.Addr().String()), freePort("udp"), freePort("tcp"), freePort("udp"), freePort("tcp"), metrics)
		log, err := os.Create(filepath.Join(GinkgoT().TempDir(), "log"))
		Expect(err).NotTo(HaveOccurred())
		defer log.Close()
		pid := launchProcess("flow_balancer", settings, log)
		// No agent answers, so the balancer is ready only until it takes itself for isolated.
		registered := func() (string, error) { return get(metrics, "/metrics") }
		Eventually(registered, waitTimeout).Should(ContainSubstring(fmt.Sprintf("currantturn_publication_registered %d\n", backends)))
		peak := 0
		for n := range 60 { // each change causes a new plan
			register(n, "draining")
			time.Sleep(50 * time.Millisecond)
			peak = max(peak, residentBytes(pid))
		}
		Eventually(registered, waitTimeout).Should(ContainSubstring(fmt.Sprintf("currantturn_publication_registered %d\n", backends)))
		AddReportEntry("resident bytes", peak)
		Expect(peak).To(BeNumerically("<", limit))
	},
		Entry("alone", 0),
		Entry("beside 100 entries of another writer as large as the store takes", 100),
	)
})
