package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"

	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet of separate processes", Ordered, func() {
	var f *fleet
	var readLine func() string
	var holder string
	nextLine := 0

	// expectWatchLines reads n lines of the watch and expects none to be missing.
	expectWatchLines := func(n int) {
		GinkgoHelper()
		for range n {
			Expect(readLine()).To(Equal(fmt.Sprint(nextLine)))
			nextLine++
		}
	}
	// expectRunOnce sends n requests and expects each to run exactly once. If the
	// response states that nothing ran, it sends another request with a new key.
	expectRunOnce := func(n int) {
		GinkgoHelper()
		for n > 0 {
			key := uuid.Must(uuid.NewV7()).String()
			status, outcome, body := f.postCheck(key)
			if outcome == "not_run" || outcome == "not_accepted" {
				Expect(f.runs(key)).To(BeZero())
				continue
			}
			Expect(status).To(Equal(http.StatusOK), outcome+body)
			Expect(body).To(Equal(key + " /check\n"))
			Expect(f.runs(key)).To(Equal(1))
			n--
		}
	}
	// agentWithoutWatch returns an agent whose backend server does not hold the watch.
	agentWithoutWatch := func() *member {
		for _, m := range f.agents {
			if m.Name != holder {
				return m
			}
		}
		return nil
	}

	BeforeAll(func() {
		f = startFleet()
		readLine, holder = f.openWatch()
		expectWatchLines(5)
		// Owners grant no key issued within two clock skews of their first
		// configuration. Thirty answered keys in a row have reached every owner.
		inARow := 0
		Eventually(func() int {
			if _, outcome, _ := f.postCheck(uuid.Must(uuid.NewV7()).String()); outcome != "answered" {
				inARow = 0
				return 0
			}
			inARow++
			return inARow
		}, waitTimeout).Should(BeNumerically(">=", 30))
	})

	It("runs each request once and repeats the recorded answer", func() {
		expectRunOnce(10)
		key := uuid.Must(uuid.NewV7()).String()
		for range 3 {
			status, _, body := f.postCheck(key)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal(key + " /check\n"))
		}
		Expect(f.runs(key)).To(Equal(1))
	})

	It("keeps the watch open and answers requests when a balancer is killed", func() {
		f.balancers[0].kill()
		expectRunOnce(5) // the fabric still sends a third of the packets to it
		expectWatchLines(20)
		f.setBalancers(f.balancers[1:]...)
		expectRunOnce(5)
		expectWatchLines(20)
	})

	It("keeps the watch open while another agent is suspended and resumed", func() {
		m := agentWithoutWatch()
		m.signal(syscall.SIGSTOP)
		expectWatchLines(50)
		m.signal(syscall.SIGCONT)
		expectWatchLines(20)
		expectRunOnce(5)
	})

	It("continues while the platform is unavailable, and applies its records afterwards", func() {
		f.service.SetDown(true)
		expectRunOnce(5)
		expectWatchLines(20)
		f.service.SetDown(false)
		Expect(f.publish(1, patch.SetWeight{Service: "verify", ID: "verify-0", Weight: 2}).Err()).To(Succeed())
		f.publish(1, patch.SetWeight{Service: "verify", ID: "verify-0", Weight: 3}) // conflicts with the first: both build on version 1
		for _, m := range append(f.balancers[1:], f.agents...) {
			Eventually(m.output, waitTimeout).Should(And(
				ContainSubstring(`"event_name":"patch_rejected"`),
				MatchRegexp(`"event_name":"configuration_in_force".*"version":"?2`)))
		}
		expectRunOnce(5)
		expectWatchLines(5)
	})

	It("prints the version in force in the status", func() {
		out, err := exec.Command(f.binary, "status", "--admin", f.agents[0].Admin.String(), "--insecure", "--format", "json").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(MatchRegexp(`"version": ?2`))
	})

	It("shuts down an agent gracefully without interrupting the watch", func() {
		m := agentWithoutWatch()
		m.signal(syscall.SIGTERM)
		expectWatchLines(20)
		Eventually(m.done, waitTimeout).Should(BeClosed())
		Expect(m.cmd.ProcessState.ExitCode()).To(BeZero(), m.output())
		expectWatchLines(20)
	})

	It("answers new keys after an agent was shut down gracefully", func() {
		expectRunOnce(25)
	})

	It("has no violated invariant and no failed process in any log", func() {
		for _, m := range append(f.balancers, f.agents...) {
			Expect(m.output()).NotTo(ContainSubstring("invariant_violated"))
			Expect(m.output()).NotTo(ContainSubstring("process_failed"))
			Expect(strings.Count(m.output(), "panic")).To(BeZero())
		}
	})
})
