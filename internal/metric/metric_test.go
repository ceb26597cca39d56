package metric_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestMetric(t *testing.T) { suite.Run(t, "metric") }

const docHeader = `# Metrics

Each process publishes its counters by expvar under ` + "`/debug/vars`" + ` of the
administration API, as ` + "`currantturn.<subsystem>.<name>`" + `; the subsystem is the
package that counts (holding is flowagent, publication is statesync and steering
is flowbalancer). They grow from zero at the start of the process, unless the
meaning says otherwise. After a change of a Counters type, renew this page
by ` + "`go test ./internal/metric -update`" + `.
`

func TestDocsListEveryCounter(t *testing.T) {
	all, err := readSources("..")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	b.WriteString(docHeader)
	for _, pkg := range slices.Sorted(maps.Keys(all.counters)) {
		subsystem := pkg
		if path, ok := all.nested[pkg]; ok {
			subsystem = path
		}
		fmt.Fprintf(&b, "\n## %s\n\n| Name | Meaning |\n|---|---|\n", subsystem)
		for _, c := range all.counters[pkg] {
			if c.name == "" || c.meaning == "" {
				t.Errorf("%s.Counters: field %q has no JSON name or no comment with its meaning", pkg, c.name)
			}
			fmt.Fprintf(&b, "| %s.%s | %s |\n", subsystem, c.name, c.meaning)
		}
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "METRICS", b.Bytes())
}

var _ = Describe("sources", func() {
	It("publish the counters of exactly the packages that have some, under their names", func() {
		all, err := readSources("..")
		Expect(err).NotTo(HaveOccurred())
		for pkg := range all.nested {
			delete(all.counters, pkg)
		}
		Expect(slices.Sorted(maps.Keys(all.published))).To(Equal(slices.Sorted(maps.Keys(all.counters))))
	})
})

var _ = Describe("registry", func() {
	It("takes a new snapshot at each read and keeps the program's other variables", func() {
		n := 0
		r := metric.NewRegistry()
		r.Publish("link", func() any { n++; return map[string]int{"datagrams": n} })
		for want := 1; want <= 2; want++ {
			w := httptest.NewRecorder()
			r.ServeHTTP(w, nil)
			var page struct {
				Currantturn map[string]map[string]int `json:"currantturn"`
				Memstats    map[string]any            `json:"memstats"`
			}
			Expect(json.Unmarshal(w.Body.Bytes(), &page)).To(Succeed())
			Expect(page.Currantturn["link"]["datagrams"]).To(Equal(want))
			Expect(page.Memstats).NotTo(BeEmpty())
		}
	})

	It("can be exposed more than once in one program", func() {
		Expect(func() { metric.NewRegistry().Expose(); metric.NewRegistry().Expose() }).NotTo(Panic())
	})
})

var _ = Describe("histogram", func() {
	It("summarises durations within its precision and clamps those out of bounds", func() {
		h := metric.NewHistogram()
		for i := range 1000 {
			h.Record(time.Duration(i+1) * time.Millisecond)
		}
		s := h.Summary()
		Expect(s.Count).To(Equal(uint64(1000)))
		Expect(s.P50).To(BeNumerically("~", 500*time.Millisecond, 5*time.Millisecond))
		Expect(s.P99).To(BeNumerically("~", 990*time.Millisecond, 10*time.Millisecond))
		h.Record(-time.Second)
		h.Record(48 * time.Hour)
		Expect(h.Summary().Count).To(Equal(uint64(1002)))
		Expect(h.Summary().Max).To(BeNumerically("~", time.Hour, time.Minute))
	})
})
