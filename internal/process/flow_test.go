package process_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/process"
	"github.com/currantturn/currantturn/internal/settings"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProcess(t *testing.T) { suite.Run(t, "process") }

// logBuffer is a log that can be read while it is being written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// freePorts returns n free TCP ports.
func freePorts(n int) (free []int) {
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		free = append(free, ln.Addr().(*net.TCPAddr).Port)
	}
	return free
}

const agentSettings = `[process]
role = flow_agent
name = side-1
failure_domain = upanga
[relay]
link_address = 127.0.0.1:%d
readiness_address = 127.0.0.1:%d
metrics_address = 127.0.0.1:%d
outbound_address = 127.0.0.1:%d
caller_address = 127.0.0.1:%d
backend_address = 127.0.0.1:%d
service = %s
`

var _ = Describe("an agent of opaque flows", func() {
	var (
		ports  []int
		path   string
		log    *logBuffer
		reload chan os.Signal
		stop   chan struct{}
		done   chan error
	)
	writeSettings := func(service string) {
		text := fmt.Sprintf(agentSettings, ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], service)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	get := func(port int, path string) string {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", port, path))
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp.Status + "\n" + string(body)
	}

	BeforeEach(func() {
		ports, path, log = freePorts(6), filepath.Join(GinkgoT().TempDir(), "agent.ini"), &logBuffer{}
		reload, stop, done = make(chan os.Signal), make(chan struct{}), make(chan error, 1)
		writeSettings("verify")
		o, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			done <- process.RunFlowAgent(context.Background(), &command.Process{
				Options: o, SettingsPath: path, Reload: reload, Stop: stop,
				Log: event.NewLogger(log, event.JSON, event.Info, "side-1"),
			})
		}()
		Eventually(func() string { return get(ports[1], "/v1/readiness") }).Should(HavePrefix("200"))
	})
	AfterEach(func() {
		close(stop)
		Expect(<-done).To(Succeed())
	})

	It("serves its counters and histograms as text", func() {
		text := get(ports[2], "/metrics")
		Expect(text).To(ContainSubstring("currantturn_holding_delivered 0\n"))
		Expect(text).To(ContainSubstring("currantturn_holding_serves_p99_ns 0\n"))
	})

	It("applies changed settings, with or without a signal", func() {
		writeSettings("reports")
		Eventually(log.String).WithTimeout(5 * time.Second).Should(ContainSubstring(`"service":"reports"`))
		writeSettings("verify2")
		reload <- syscall.SIGHUP
		Eventually(log.String).WithTimeout(5 * time.Second).Should(ContainSubstring(`"service":"verify2"`))
	})

	It("keeps the previous settings if the changed ones have errors", func() {
		Expect(os.WriteFile(path, []byte("[process]\nrole = flow_agent\n"), 0o600)).To(Succeed())
		reload <- syscall.SIGHUP
		Eventually(log.String).WithTimeout(5 * time.Second).Should(ContainSubstring("settings_rejected"))
		Expect(get(ports[1], "/v1/readiness")).To(HavePrefix("200"))
	})
})
