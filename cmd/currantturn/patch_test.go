package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/command"
	fakeplatform "github.com/currantturn/currantturn/internal/fake/platform"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCurrantturn(t *testing.T) { suite.Run(t, "currantturn") }

// encodePatch returns a patch in the form in which it is published.
func encodePatch(buildsOn currantturn.Version, ops ...patch.Operation) []byte {
	GinkgoHelper()
	p, err := patch.Encode(&patch.Patch{BuildsOn: buildsOn, Operations: ops})
	Expect(err).NotTo(HaveOccurred())
	return p
}

func addVerify() patch.Operation {
	var servers []currantturn.BackendServer
	for i, id := range []currantturn.BackendID{"verify-1", "verify-2"} {
		ip := netip.AddrFrom4([4]byte{192, 0, 2, byte(20 + i)})
		servers = append(servers, currantturn.BackendServer{
			ID: id, FailureDomain: "upanga", Slots: 3, Weight: 1,
			Agent: netip.AddrPortFrom(ip, 7000), Stream: netip.AddrPortFrom(ip, 7443),
		})
	}
	return patch.AddService{
		Service: "verify", Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:443")}, BackendServers: servers,
	}
}

// record returns a record in the JSON form of a log file.
func record(position int, patch string) string {
	return fmt.Sprintf(`{"position":%d,"author":"asha","time":"2026-01-02T03:04:05Z","patch":%s}`, position, patch)
}

var _ = Describe("patch check", func() {
	// checkDrain checks a patch that drains verify-1 against a version of a log.
	checkDrain := func(source string, against int) (code int, text string) {
		GinkgoHelper()
		patchFile := filepath.Join(GinkgoT().TempDir(), "patch.json")
		drain := encodePatch(1, patch.Drain{Service: "verify", ID: "verify-1"})
		Expect(os.WriteFile(patchFile, drain, 0o600)).To(Succeed())
		var out bytes.Buffer
		p := command.New(hooks())
		p.Out, p.Err = &out, &out
		code = p.Run(context.Background(), []string{
			"currantturn", "patch", "check", patchFile, "--against", fmt.Sprint(against), "--log", source,
		})
		return code, out.String()
	}
	checkDrainWithLog := func(log string, against int) (code int, text string) {
		GinkgoHelper()
		logFile := filepath.Join(GinkgoT().TempDir(), "log")
		Expect(os.WriteFile(logFile, []byte(log), 0o600)).To(Succeed())
		return checkDrain(logFile, against)
	}
	addPatch := func() string { return string(encodePatch(0, addVerify())) }
	addPatchBase64 := func() string { return `"` + base64.StdEncoding.EncodeToString([]byte(addPatch())) + `"` }

	It("accepts a patch that would be in force, with each form of a log", func() {
		rejected := record(2, `{"builds_on":0,"operations":[]}`)
		for _, log := range []string{
			record(1, addPatch()),
			record(1, addPatchBase64()),
			record(1, addPatch()) + "\n" + rejected,
			"[" + record(1, addPatch()) + "," + rejected + "]",
		} {
			code, text := checkDrainWithLog(log, 1)
			Expect(code).To(Equal(command.ExitOK), text)
			Expect(text).To(Equal("in force as version 2\n~ service verify, backend server verify-1: state active -> draining\n"))
		}
	})

	It("rejects a patch that builds on another version", func() {
		code, text := checkDrainWithLog(record(1, addPatch()), 0)
		Expect(code).To(Equal(command.ExitRejected))
		Expect(text).To(HavePrefix("rejected; version 0 stays in force\n! "))
	})

	It("prints a note if the log contains a later version", func() {
		weight := encodePatch(1, patch.SetWeight{Service: "verify", ID: "verify-2", Weight: 2})
		code, text := checkDrainWithLog(record(1, addPatch())+record(2, string(weight)), 1)
		Expect(code).To(Equal(command.ExitOK))
		Expect(text).To(HaveSuffix("note: the log has reached version 2; a new patch must build on that version\n"))
	})

	It("reads the log of a platform, with and without a snapshot", func() {
		service := fakeplatform.New(time.Now)
		server := httptest.NewServer(service)
		DeferCleanup(server.Close)
		_, err := service.Publish("asha", encodePatch(0, addVerify()))
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			code, text := checkDrain(server.URL, 1)
			Expect(code).To(Equal(command.ExitOK), text)
			Expect(service.PublishSnapshot()).To(Succeed())
		}
		code, text := checkDrain(server.URL, 0)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(text).To(ContainSubstring("the log contains versions 1 to 1, not 0"))
		service.SetDown(true)
		code, text = checkDrain(server.URL, 1)
		Expect(code).To(Equal(command.ExitFailure))
		Expect(text).To(ContainSubstring("unavailable"))
	})

	DescribeTable("rejects an invalid log", func(log string, against int, text string) {
		code, got := checkDrainWithLog(log, against)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(got).To(ContainSubstring(text))
	},
		Entry("too short", "", 1, "the log contains versions 0 to 0, not 1"),
		Entry("not JSON", "position 1", 1, "invalid character"),
		Entry("truncated", `[{"position":1`, 1, "unexpected EOF"),
		Entry("with a gap", record(2, "{}"), 1, "position 2 after 0"),
		Entry("with bad base64", record(1, `"%"`), 1, "illegal base64"),
	)
})
