package settings_test

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/settings"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestSettings(t *testing.T) { suite.Run(t, "settings") }

const docHeader = `# Settings

One INI file for each process, given by ` + "`--settings`" + `. ` + "`currantturn settings check FILE`" + `
prints the values in force, or every mistake at once with file, section and key
(exit code 2). Relative paths start at the directory of the settings file. After
a change of a key, renew this page by ` + "`go test ./internal/settings -update`" + `.
`

func TestDocsListEveryKey(t *testing.T) {
	var b bytes.Buffer
	b.WriteString(docHeader)
	if err := settings.WriteDocs(&b); err != nil {
		t.Fatal(err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "SETTINGS", b.Bytes())
}

func TestPrintedOptions(t *testing.T) {
	for _, role := range []currantturn.Role{currantturn.RoleBalancer, currantturn.RoleAgent} {
		o := settings.Default(role)
		o.Entry.Addresses = []netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:443"), netip.MustParseAddrPort("[2001:db8::1]:443")}
		var b bytes.Buffer
		if err := settings.WriteOptions(&b, o); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, "options_"+string(role), b.Bytes())
	}
}

func TestMistakes(t *testing.T) {
	for _, name := range []string{"five_mistakes", "many_mistakes"} {
		path := filepath.Join("testdata", name+".ini")
		o, err := settings.Load(path)
		if o != nil || !errors.Is(err, settings.ErrInvalid) {
			t.Fatalf("Load(%s) returned options %v, error %v; want only ErrInvalid", path, o, err)
		}
		goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
	}
}

var _ = Describe("settings", func() {
	load := func(text string) (*settings.Options, error) {
		return settings.Parse(filepath.Join("testdata", "x.ini"), []byte(text))
	}
	balancer, err := os.ReadFile("testdata/balancer.ini")
	Expect(err).NotTo(HaveOccurred())
	agent, err := os.ReadFile("testdata/agent.ini")
	Expect(err).NotTo(HaveOccurred())
	flowAgent, err := os.ReadFile("testdata/flow_agent.ini")
	Expect(err).NotTo(HaveOccurred())

	It("reads a balancer's file into typed options", func() {
		o, err := settings.Load("testdata/balancer.ini")
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Process.Role).To(Equal(currantturn.RoleBalancer))
		Expect(o.Entry.Addresses).To(Equal([]netip.AddrPort{netip.MustParseAddrPort("192.0.2.1:443"), netip.MustParseAddrPort("192.0.2.2:443")}))
		Expect(o.Platform.URLs).To(HaveLen(2))
		Expect(o.Link.AdvertisedAddress).To(Equal(o.Link.Address))
		Expect(o.Trust.CAFile).To(Equal("testdata/file.pem"))
		Expect(o.Process.ShutdownGrace).To(Equal(24 * time.Hour))
		Expect(o.Flows.HintCacheSize).To(Equal(8192))
	})

	It("reads an agent's file into typed options", func() {
		o, err := load(string(agent) + "\n[requests]\nrecord_store_bytes = 64KiB")
		Expect(err).NotTo(HaveOccurred())
		Expect(o.Requests.RecordStoreBytes).To(Equal(int64(64 << 10)))
		Expect(o.Backend.HealthURL.String()).To(Equal("http://127.0.0.1:8080/health"))
		Expect(o.Entry.Addresses).To(BeEmpty())
	})

	It("reports the path of a settings file that does not exist", func() {
		_, err := settings.Load("testdata/absent.ini")
		Expect(err).To(MatchError(settings.ErrInvalid))
		Expect(err.Error()).To(HavePrefix("testdata/absent.ini: "))
	})

	It("rejects a list that exceeds its bound", func() {
		list := "urls = " + strings.Repeat("x,", 1024)
		_, err := load(strings.Replace(string(agent), "urls = ", list, 1))
		Expect(err).To(MatchError("testdata/x.ini: [platform] urls: 1025 entries exceed the limit of 1024"))
	})

	It("rejects a settings file that exceeds its bound", func() {
		path := filepath.Join(GinkgoT().TempDir(), "large.ini")
		Expect(os.WriteFile(path, append(balancer, make([]byte, 256<<10)...), 0o600)).To(Succeed())
		_, err := settings.Load(path)
		Expect(err).To(MatchError(ContainSubstring("input too large")))
	})

	DescribeTable("reports one problem for one added line",
		func(file *[]byte, line, problem string) {
			_, err := load(string(*file) + line)
			var problems settings.Problems
			Expect(errors.As(err, &problems)).To(BeTrue())
			Expect(problems).To(HaveLen(1))
			Expect(problems[0].String()).To(Equal("testdata/x.ini: " + problem))
		},
		Entry("unknown section", &balancer, "\n[flow]", "[flow]: unknown section"),
		Entry("unknown key", &balancer, "\n[flows]\ncolour = red", "[flows] colour: unknown key"),
		Entry("key of another role", &balancer, "\n[requests]\nwatches_max = 1", "[requests] watches_max: does not apply to the role balancer"),
		Entry("repeated key", &agent, "\n[requests]\nretention = 1m\nretention = 2m", "[requests] retention: given more than once"),
		Entry("duration below its range", &agent, "\n[flows]\nidle_timeout = 1s", "[flows] idle_timeout: 1s is out of range (10s to 24h)"),
		Entry("number without a unit for a duration", &agent, "\n[flows]\nidle_timeout = 10", `[flows] idle_timeout: "10" is not a duration such as 500ms or 30s`),
		Entry("rate that is NaN", &balancer, "\n[platform]\nread_budget_per_second = NaN", "[platform] read_budget_per_second: NaN is out of range (0.01 to 100)"),
		Entry("size above its range", &agent, "\n[requests]\nrecord_store_bytes = 2000MiB", "[requests] record_store_bytes: 2000MiB is out of range (64KiB to 1024MiB)"),
		Entry("unknown choice", &balancer, "\n[log]\nlevel = loud", `[log] level: "loud" is not one of: debug, info, warning, error`),
		Entry("empty value", &balancer, "\n[log]\nlevel =", "[log] level: has no value"),
		Entry("key without an equals sign", &balancer, "\n[log]\nlevel", "[log] level: has no value"),
		Entry("missing file", &balancer, "\n[admin]\nca_file = absent", "[admin] ca_file: stat testdata/absent: no such file or directory"),
		Entry("directory in place of a file", &balancer, "\n[admin]\nca_file = .", "[admin] ca_file: testdata is not a regular file of 1 byte to 1MiB"),
		Entry("empty file", &balancer, "\n[admin]\nca_file = empty.pem", "[admin] ca_file: testdata/empty.pem is not a regular file of 1 byte to 1MiB"),
		Entry("proxy without an answer address", &balancer, "\n[entry]\nkind = proxy", "[entry] fabric_answer_address: missing; required with kind = proxy"),
		Entry("two HTTP handlers with the same address", &flowAgent, "metrics_address = 127.0.0.1:8200", "[relay] metrics_address: same address as readiness_address"),
		Entry("insecure API on an address that is not loopback", &agent, "\n[admin]\ninsecure = true\naddress = 192.0.2.1:9000", "[admin] insecure: true requires a loopback address"),
	)

	It("has only keys that the program reads", func() {
		paths, err := filepath.Glob("../[cp]*/*.go") // command and process
		Expect(err).NotTo(HaveOccurred())
		var files []string
		for _, path := range paths {
			text, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			files = append(files, string(text))
		}
		sections := reflect.TypeFor[settings.Options]()
		for i := range sections.NumField() {
			section := sections.Field(i)
			for j := range section.Type.NumField() {
				field := section.Type.Field(j).Name
				read := slices.ContainsFunc(files, func(text string) bool {
					return strings.Contains(text, "."+section.Name) && regexp.MustCompile(`\.`+field+`\b`).MatchString(text)
				})
				Expect(read).To(BeTrue(), section.Name+"."+field)
			}
		}
	})

	It("has valid defaults for balancers and agents", func() {
		for _, r := range []currantturn.Role{currantturn.RoleBalancer, currantturn.RoleAgent} {
			Expect(func() { settings.Default(r) }).NotTo(Panic())
		}
	})
})

func FuzzParse(f *testing.F) {
	for _, name := range []string{"balancer", "agent", "five_mistakes", "many_mistakes"} {
		data, err := os.ReadFile("testdata/" + name + ".ini")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := settings.Parse("testdata/x.ini", data)
		if (o == nil) == (err == nil) {
			t.Fatalf("Parse returned options %v and error %v; want exactly one of them", o, err)
		}
	})
}
