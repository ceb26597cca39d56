package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/currantturn/currantturn/internal/command"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

const configurations = "testdata/configuration/"

// checkFiles runs configuration check with arguments and returns what it printed.
func checkFiles(line string) (code int, out, errs string) {
	var o, e bytes.Buffer
	p := command.New(hooks())
	p.Out, p.Err = &o, &e
	code = p.Run(context.Background(), append([]string{"currantturn", "configuration", "check"}, strings.Fields(line)...))
	return code, o.String(), e.String()
}

// TestConfigurationCheck compares the whole output with golden files.
func TestConfigurationCheck(t *testing.T) {
	for _, c := range []struct {
		golden, line string
		code         int
	}{
		{"unchanged", configurations + "in_force.json", command.ExitOK},
		{"next", configurations + "next.json --against " + configurations + "in_force.json", command.ExitOK},
		{"wrong", configurations + "wrong.json --against " + configurations + "in_force.json --registrations " + configurations + "registrations.json", command.ExitRejected},
		{"next_json", configurations + "next.json --against " + configurations + "in_force.json --format json", command.ExitOK},
		{"wrong_json", configurations + "wrong.json --format json", command.ExitRejected},
	} {
		code, out, errs := checkFiles(c.line)
		if code != c.code {
			t.Errorf("%s: exit code %d, error output %q", c.golden, code, errs)
		}
		goldie.New(t, goldie.WithFixtureDir(strings.TrimSuffix(configurations, "/"))).Assert(t, c.golden, []byte(out))
	}
}

var _ = Describe("configuration check", func() {
	DescribeTable("reports input that cannot be read", func(content, flag string) {
		path := filepath.Join(GinkgoT().TempDir(), "bad.json")
		Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
		line := path
		if flag != "" {
			line = configurations + "in_force.json " + flag + " " + path
		}
		code, out, errs := checkFiles(line)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(out).To(BeEmpty())
		Expect(errs).NotTo(BeEmpty())
	},
		Entry("empty", "", ""), Entry("not JSON", "\x00\xff", ""), Entry("a list", "[]", ""), Entry("truncated", `{"version":7,`, ""),
		Entry("in force not JSON", "x", "--against"), Entry("registrations not JSON", "x", "--registrations"),
	)

	It("reports an absent file and a wrong number of arguments as bad input", func() {
		code, _, errs := checkFiles("absent.json")
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errs).To(ContainSubstring("absent.json"))
		code, _, _ = checkFiles("")
		Expect(code).To(Equal(command.ExitBadInput))
		code, _, _ = checkFiles(configurations + "in_force.json --format xml")
		Expect(code).To(Equal(command.ExitBadInput))
	})

	It("accepts a listing without any registration and reports services without backend servers", func() {
		path := filepath.Join(GinkgoT().TempDir(), "none.json")
		Expect(os.WriteFile(path, []byte(`{"items":[],"at":4}`), 0o600)).To(Succeed())
		code, out, _ := checkFiles(configurations + "in_force.json --registrations " + path)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("version 7: no errors\nwarning: service verify: no backend server is registered\nwarning: service reports: no backend server is registered\n"))
	})
})
