package patch_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/pkg/patch"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestPatch(t *testing.T) { suite.Run(t, "patch") }

// server returns a backend server whose addresses derive from n.
func server(id string, n int) currantturn.BackendServer {
	ip := netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)})
	return currantturn.BackendServer{
		ID: currantturn.BackendID(id), FailureDomain: "kivukoni", Agent: netip.AddrPortFrom(ip, 7000),
		Stream: netip.AddrPortFrom(ip, 7001), Slots: 3, Weight: 1,
	}
}

func encode(buildsOn currantturn.Version, ops ...patch.Operation) []byte {
	p, err := patch.Encode(&patch.Patch{BuildsOn: buildsOn, Operations: ops})
	Expect(err).NotTo(HaveOccurred())
	return p
}

// fold returns the configuration after the patches and the verdict on each.
func fold(patches ...[]byte) (*patch.Configuration, []patch.Verdict) {
	c := &patch.Configuration{}
	var verdicts []patch.Verdict
	for _, p := range patches {
		r := &currantturn.Record{Position: c.Position + 1, Author: "asha", Time: time.Unix(1, 0), Patch: p}
		next, v, err := c.Next(r)
		Expect(err).NotTo(HaveOccurred())
		c, verdicts = next, append(verdicts, v)
	}
	return c, verdicts
}

// basePatch returns a patch that adds the services verify and reports.
func basePatch() []byte {
	return encode(0,
		patch.AddService{
			Service: "verify", Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:443")},
			BackendServers: []currantturn.BackendServer{server("v-1", 1), server("v-2", 2)},
		},
		patch.AddService{
			Service: "reports", Addresses: []netip.AddrPort{netip.MustParseAddrPort("192.0.2.2:443")},
			BackendServers: []currantturn.BackendServer{server("r-1", 11)},
		})
}

// TestCheckOutput compares the verdict, reasons and changes of each patch in
// testdata/check with its golden file.
func TestCheckOutput(t *testing.T) {
	RegisterTestingT(t)
	base, _ := fold(basePatch())
	files, err := filepath.Glob("testdata/check/*.json")
	Expect(err).NotTo(HaveOccurred())
	Expect(files).NotTo(BeEmpty())
	for _, path := range files {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		t.Run(name, func(t *testing.T) {
			p, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			v, d := patch.Check(base, p)
			var b bytes.Buffer
			fmt.Fprintln(&b, v.Outcome, v.Version)
			for _, r := range v.Reasons {
				fmt.Fprintln(&b, "!", r)
			}
			for _, c := range d {
				fmt.Fprintln(&b, c)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/check")).Assert(t, name, b.Bytes())
		})
	}
}

// validServer holds the first fields of a valid backend server.
const validServer = `"id":"x","failure_domain":"upanga","agent":"10.1.0.1:1","stream":"10.1.0.1:2"`

var _ = DescribeTable("rejections", func(ops string, field string, cause error) {
	base, _ := fold(basePatch())
	v, d := patch.Check(base, []byte(`{"builds_on":1,"operations":[`+ops+`]}`))
	Expect(d).To(BeNil())
	Expect(v.Outcome).To(Equal(patch.Rejected))
	Expect(v.Version).To(BeEquivalentTo(1))
	Expect(v.Err()).To(MatchError(cause))
	Expect(v.Reasons).To(ContainElement(HaveField("Field", field)))
},
	Entry("no such service", `{"op":"drain","service":"x","id":"v-1"}`, "service", patch.ErrNotFound),
	Entry("no such backend server", `{"op":"undrain","service":"verify","id":"r-1"}`, "id", patch.ErrNotFound),
	Entry("no such operation", `{"op":"delete"}`, "op", patch.ErrUnknownOperation),
	Entry("operation without a name", `{}`, "op", patch.ErrUnknownOperation),
	Entry("unknown field", `{"op":"drain","service":"verify","id":"v-1","wait":1}`, "wait", patch.ErrUnknownField),
	Entry("nested unknown field", `{"op":"set_limits","service":"verify","limits":{"flows":1}}`, "flows", patch.ErrUnknownField),
	Entry("wrong type", `{"op":"set_slots","service":"verify","id":"v-1","slots":"3"}`, "slots", patch.ErrInvalid),
	Entry("slots below the range", `{"op":"set_slots","service":"verify","id":"v-1","slots":0}`, "slots", patch.ErrOutOfRange),
	Entry("weight above the range", `{"op":"set_weight","service":"verify","id":"v-1","weight":1001}`, "weight", patch.ErrOutOfRange),
	Entry("limit below the range", `{"op":"set_limits","service":"verify","limits":{"flows_per_caller":0}}`,
		"limits.flows_per_caller", patch.ErrOutOfRange),
	Entry("no address", `{"op":"set_addresses","service":"verify","addresses":[]}`, "addresses", patch.ErrOutOfRange),
	Entry("service address of another service", `{"op":"set_addresses","service":"verify","addresses":["192.0.2.2:443"]}`,
		"addresses[0]", patch.ErrAddressTaken),
	Entry("agent address of another backend server", `{"op":"add_backend_server","service":"verify","backend_server":{`+
		`"id":"x","failure_domain":"upanga","agent":"10.0.0.11:7000","stream":"10.1.0.1:2","slots":1,"weight":1}}`,
		"backend_server.agent", patch.ErrAddressTaken),
	Entry("same address for agent and stream", `{"op":"add_backend_server","service":"verify","backend_server":{`+
		`"id":"x","failure_domain":"upanga","agent":"10.1.0.1:1","stream":"10.1.0.1:1","slots":1,"weight":1}}`,
		"backend_server.agent", patch.ErrAddressTaken),
	Entry("port 0", `{"op":"set_addresses","service":"verify","addresses":["192.0.2.9:0"]}`, "addresses[0]", patch.ErrInvalid),
	Entry("IPv4-mapped IPv6 address", `{"op":"set_addresses","service":"verify","addresses":["[::ffff:192.0.2.9]:1"]}`,
		"addresses[0]", patch.ErrInvalid),
	Entry("ID of a backend server of another service", `{"op":"add_backend_server","service":"verify","backend_server":{`+
		strings.Replace(validServer, `"x"`, `"r-1"`, 1)+`,"slots":1,"weight":1}}`, "backend_server.id", patch.ErrExists),
	Entry("service exists", `{"op":"add_service","service":"verify","addresses":["192.0.2.9:1"]}`, "service", patch.ErrExists),
	Entry("invalid service name", `{"op":"add_service","service":"Verify","addresses":["192.0.2.9:1"]}`, "service", patch.ErrInvalid),
	Entry("invalid state", `{"op":"add_backend_server","service":"verify","backend_server":{`+validServer+
		`,"slots":1,"weight":1,"state":"down"}}`, "backend_server.state", patch.ErrInvalid),
	Entry("removal of an active backend server", `{"op":"remove_backend_server","service":"verify","id":"v-1"}`, "id", patch.ErrNotDrained),
	Entry("removal of a service with an active backend server", `{"op":"remove_service","service":"reports"}`, "service", patch.ErrNotDrained),
	Entry("drain of the last active backend server", `{"op":"drain","service":"reports","id":"r-1"}`, "", patch.ErrLastActive),
	Entry("weight 0 for the last active backend server", `{"op":"set_weight","service":"reports","id":"r-1","weight":0}`, "", patch.ErrLastActive),
	Entry("no operations", ``, "operations", patch.ErrOutOfRange),
)

var _ = DescribeTable("malformed patches", func(p string, cause error) {
	_, rs := patch.Decode([]byte(p))
	Expect(rs).To(MatchError(cause))
},
	Entry("empty", ``, currantturn.ErrMalformed),
	Entry("repeated key", `{"builds_on":1,"builds_on":2,"operations":[]}`, currantturn.ErrMalformed),
	Entry("key in another case", `{"Builds_On":1,"operations":[]}`, currantturn.ErrMalformed),
	Entry("second JSON value", `{"builds_on":1,"operations":[]}{}`, currantturn.ErrMalformed),
	Entry("too many levels of nesting", `{"builds_on":`+strings.Repeat("[", 99)+strings.Repeat("]", 99)+`}`, currantturn.ErrMalformed),
	Entry("no version to build on", `{"operations":[{"op":"remove_service","service":"x"}]}`, patch.ErrInvalid),
	Entry("too large", strings.Repeat(" ", patch.MaxBytes+1), currantturn.ErrTooLarge),
)

var _ = Describe("the fold", func() {
	It("accepts the first of two patches that build on the same version and rejects the second", func() {
		weight := func(n int) []byte {
			return encode(1, patch.SetWeight{Service: "verify", ID: "v-1", Weight: n})
		}
		c, verdicts := fold(basePatch(), weight(2), weight(3))
		Expect(verdicts[1].Outcome).To(Equal(patch.InForce))
		Expect(verdicts[2].Err()).To(MatchError(patch.ErrConflict))
		Expect(c.Version).To(BeEquivalentTo(2))
		Expect(c.Position).To(BeEquivalentTo(3))
		Expect(c.View().Service("verify").Backend("v-1").Weight).To(Equal(2))
	})

	It("returns all reasons, ordered by operation", func() {
		base, _ := fold(basePatch())
		v, _ := patch.Check(base, encode(1,
			patch.SetSlots{Service: "verify", ID: "v-9", Slots: 0},
			patch.Drain{Service: "reports", ID: "r-1"},
			patch.SetWeight{Service: "verify", ID: "v-1", Weight: -1}))
		var got []string
		for _, r := range v.Reasons {
			got = append(got, fmt.Sprintf("%d %s %s", r.Operation, r.Field, r.Code))
		}
		Expect(got).To(Equal([]string{"0 slots out_of_range", "0 id not_found", "1  last_active", "2 weight out_of_range"}))
	})

	It("does not change the configuration that a patch builds on", func() {
		base, _ := fold(basePatch())
		before := fmt.Sprint(base)
		_, _ = patch.Check(base, encode(1,
			patch.Drain{Service: "verify", ID: "v-1"}, patch.SetWeight{Service: "verify", ID: "v-2", Weight: 7},
			patch.AddBackendServer{Service: "verify", BackendServer: server("a", 5)},
			patch.RemoveBackendServer{Service: "verify", ID: "v-1"}, patch.RemoveService{Service: "reports", AllowActive: true}))
		Expect(fmt.Sprint(base)).To(Equal(before))
	})

	It("returns an error for a record whose position is not the next one", func() {
		_, _, err := (&patch.Configuration{}).Next(&currantturn.Record{Position: 2})
		Expect(err).To(MatchError(patch.ErrPosition))
	})
})

func FuzzDecode(f *testing.F) {
	RegisterTestingT(f)
	files, _ := filepath.Glob("testdata/check/*.json")
	for _, path := range files {
		p, _ := os.ReadFile(path)
		f.Add(p)
	}
	base, _ := fold(basePatch())
	f.Fuzz(func(t *testing.T, p []byte) {
		in, rs := patch.Decode(p)
		if (in == nil) == (len(rs) == 0) {
			t.Fatal("got both or neither of a patch and reasons")
		}
		v, _ := patch.Check(base, p)
		if v.Outcome == patch.InForce && v.Version != base.Version+1 {
			t.Fatalf("accepted as version %d, not the next one", v.Version)
		}
		if in == nil {
			return
		}
		again, err := patch.Encode(in)
		if err != nil {
			t.Fatal(err)
		}
		if len(again) > patch.MaxBytes {
			return
		}
		out, rs := patch.Decode(again)
		if len(rs) > 0 {
			t.Fatal(rs)
		}
		if third, _ := patch.Encode(out); !bytes.Equal(again, third) {
			t.Fatalf("%s encodes as %s after decoding", again, third)
		}
	})
}
