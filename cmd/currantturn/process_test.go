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
	var next func() string
	var holder string
	line := 0

	// follow reads lines of the watch, none of which may be missing.
	follow := func(n int) {
		GinkgoHelper()
		for range n {
			Expect(next()).To(Equal(fmt.Sprint(line)))
			line++
		}
	}
	// answered sends requests, each of which must run exactly once; a refusal
	// that says that nothing ran lets the caller take a new key.
	answered := func(n int) {
		GinkgoHelper()
		for n > 0 {
			key := uuid.Must(uuid.NewV7()).String()
			status, outcome, body := f.check(key)
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
	other := func() *member {
		for _, m := range f.agents {
			if m.Name != holder {
				return m
			}
		}
		return nil
	}

	BeforeAll(func() {
		f = startFleet()
		next, holder = f.watch()
		follow(5)
		// Owners grant no key issued within two clock skews of their first
		// configuration; thirty keys in a row meet every owner.
		inRow := 0
		Eventually(func() int {
			if _, outcome, _ := f.check(uuid.Must(uuid.NewV7()).String()); outcome != "answered" {
				inRow = 0
				return 0
			}
			inRow++
			return inRow
		}, patient).Should(BeNumerically(">=", 30))
	})

	It("answers each request once and repeats from the record", func() {
		answered(10)
		key := uuid.Must(uuid.NewV7()).String()
		for range 3 {
			status, _, body := f.check(key)
			Expect(status).To(Equal(http.StatusOK))
			Expect(body).To(Equal(key + " /check\n"))
		}
		Expect(f.runs(key)).To(Equal(1))
	})

	It("keeps the watch and answers while a balancer is killed", func() {
		f.balancers[0].kill()
		answered(5) // the fabric still sends it a third of the packets
		follow(20)
		f.spray(f.balancers[1:]...)
		answered(5)
		follow(20)
	})

	It("keeps the watch while another agent is frozen and thawed", func() {
		m := other()
		m.signal(syscall.SIGSTOP)
		follow(50)
		m.signal(syscall.SIGCONT)
		follow(20)
		answered(5)
	})

	It("goes on while the platform is down, and follows it afterwards", func() {
		f.service.SetDown(true)
		answered(5)
		follow(20)
		f.service.SetDown(false)
		Expect(f.publish(1, patch.SetWeight{Service: "verify", ID: "verify-0", Weight: 2}).Err()).To(Succeed())
		f.publish(1, patch.SetWeight{Service: "verify", ID: "verify-0", Weight: 3}) // races with the first
		for _, m := range append(f.balancers[1:], f.agents...) {
			Eventually(m.output, patient).Should(And(
				ContainSubstring(`"event_name":"patch_rejected"`),
				MatchRegexp(`"event_name":"configuration_in_force".*"version":"?2`)))
		}
		answered(5)
		follow(5)
	})

	It("tells an operator the version in force and the rejected patch", func() {
		out, err := exec.Command(f.binary, "status", "--admin", f.agents[0].Admin.String(), "--insecure", "--format", "json").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		Expect(string(out)).To(MatchRegexp(`"version": ?2`))
	})

	It("stops an agent as planned without cutting the watch", func() {
		m := other()
		m.signal(syscall.SIGTERM)
		follow(20)
		Eventually(m.done, patient).Should(BeClosed())
		Expect(m.cmd.ProcessState.ExitCode()).To(BeZero(), m.output())
		follow(20)
	})

	It("answers new keys after an agent has stopped as planned", func() {
		answered(25)
	})

	It("has no broken invariant and no failed process in any log", func() {
		for _, m := range append(f.balancers, f.agents...) {
			Expect(m.output()).NotTo(ContainSubstring("invariant_violated"))
			Expect(m.output()).NotTo(ContainSubstring("process_failed"))
			Expect(strings.Count(m.output(), "panic")).To(BeZero())
		}
	})
})
