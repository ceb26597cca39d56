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

// lines is a log that may be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// ports returns free TCP ports.
func ports(n int) (all []int) {
	for range n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		all = append(all, ln.Addr().(*net.TCPAddr).Port)
	}
	return all
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
		p      []int
		path   string
		log    *lines
		reload chan os.Signal
		stop   chan struct{}
		done   chan error
	)
	write := func(service string) {
		text := fmt.Sprintf(agentSettings, p[0], p[1], p[2], p[3], p[4], p[5], service)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	get := func(port int, path string) string {
		r, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", port, path))
		if err != nil {
			return err.Error()
		}
		defer r.Body.Close()
		body, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		return r.Status + "\n" + string(body)
	}

	BeforeEach(func() {
		p, path, log = ports(6), filepath.Join(GinkgoT().TempDir(), "agent.ini"), &lines{}
		reload, stop, done = make(chan os.Signal), make(chan struct{}), make(chan error, 1)
		write("verify")
		o, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			done <- process.RunFlowAgent(context.Background(), &command.Process{
				Options: o, SettingsPath: path, Reload: reload, Stop: stop,
				Log: event.NewLogger(log, event.JSON, event.Info, "side-1"),
			})
		}()
		Eventually(func() string { return get(p[1], "/v1/readiness") }).Should(HavePrefix("200"))
	})
	AfterEach(func() {
		close(stop)
		Expect(<-done).To(Succeed())
	})

	It("serves its counters and histograms as text", func() {
		text := get(p[2], "/metrics")
		Expect(text).To(ContainSubstring("currantturn_holding_delivered 0\n"))
		Expect(text).To(ContainSubstring("currantturn_holding_serves_p99_ns 0\n"))
	})

	It("takes changed settings into use, with or without a signal", func() {
		write("reports")
		Eventually(log.String).WithTimeout(5 * time.Second).Should(ContainSubstring(`"service":"reports"`))
		write("verify2")
		reload <- syscall.SIGHUP
		Eventually(log.String).WithTimeout(5 * time.Second).Should(ContainSubstring(`"service":"verify2"`))
	})

	It("keeps the earlier settings when the changed ones have mistakes", func() {
		Expect(os.WriteFile(path, []byte("[process]\nrole = flow_agent\n"), 0o600)).To(Succeed())
		reload <- syscall.SIGHUP
		Eventually(log.String).WithTimeout(5 * time.Second).Should(ContainSubstring("settings_rejected"))
		Expect(get(p[1], "/v1/readiness")).To(HavePrefix("200"))
	})
})
