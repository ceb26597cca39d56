package command_test

import (
	"testing"

	"github.com/currantturn/currantturn/internal/command"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

const logDir = "testdata/logs/"

func TestExplain(t *testing.T) {
	p, out, errs := program(command.Hooks{})
	code := run(p, "explain --flow 100.65.0.6:1099>198.18.0.1:8443 "+logDir+"agent.log "+logDir+"balancer.log")
	if code != 0 {
		t.Fatal(errs.String())
	}
	goldie.New(t).Assert(t, "explain", out.Bytes())
}

var _ = Describe("explain", func() {
	DescribeTable("rejects bad input", func(line, text string) {
		p, _, errs := program(command.Hooks{})
		Expect(run(p, line)).To(Equal(2))
		Expect(errs.String()).To(ContainSubstring(text))
	},
		Entry("no file", "explain --flow x", "takes FILE..."),
		Entry("no flow", "explain "+logDir+"agent.log", `"flow" not set`),
		Entry("absent file", "explain --flow x absent.log", "absent.log"),
		Entry("unknown flow", "explain --flow x "+logDir+"agent.log", "no log line of flow x found"),
	)
})
