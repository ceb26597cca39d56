package metric_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http/httptest"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
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
package that counts. They grow from zero at the start of the process, unless
the meaning says otherwise. After a change of a Counters type, renew this page
by ` + "`go test ./internal/metric -update`" + `.
`

// counter is one field of a package's Counters type, as its source declares it.
type counter struct{ name, meaning string }

// declaredCounters reads the Counters types of all packages from their sources.
func declaredCounters() (map[string][]counter, error) {
	all := map[string][]counter{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if ok && spec.Name.Name == "Counters" {
				all[f.Name.Name] = append(all[f.Name.Name], fieldsOf(spec)...)
			}
			return true
		})
		return nil
	})
	return all, err
}

func fieldsOf(spec *ast.TypeSpec) []counter {
	var fields []counter
	s, ok := spec.Type.(*ast.StructType)
	if !ok {
		return nil
	}
	for _, f := range s.Fields.List {
		if f.Tag == nil {
			continue
		}
		name, _, _ := strings.Cut(reflect.StructTag(strings.Trim(f.Tag.Value, "`")).Get("json"), ",")
		meaning := strings.TrimSpace(f.Comment.Text() + f.Doc.Text())
		fields = append(fields, counter{name, strings.ReplaceAll(meaning, "\n", " ")})
	}
	return fields
}

func TestDocsListEveryCounter(t *testing.T) {
	all, err := declaredCounters()
	if err != nil {
		t.Fatal(err)
	}
	var subsystems []string
	for s := range all {
		subsystems = append(subsystems, s)
	}
	slices.Sort(subsystems)
	var b bytes.Buffer
	b.WriteString(docHeader)
	for _, s := range subsystems {
		fmt.Fprintf(&b, "\n## %s\n\n| Name | Meaning |\n|---|---|\n", s)
		for _, c := range all[s] {
			if c.name == "" || c.meaning == "" {
				t.Errorf("a field of %s.Counters (%q) lacks its json name or a comment with its meaning", s, c.name)
			}
			fmt.Fprintf(&b, "| %s.%s | %s |\n", s, c.name, c.meaning)
		}
	}
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "METRICS", b.Bytes())
}

var _ = Describe("registry", func() {
	It("publishes snapshots as they are at each read, beside the program's own", func() {
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

	It("can be exposed twice in one program", func() {
		Expect(func() { metric.NewRegistry().Expose(); metric.NewRegistry().Expose() }).NotTo(Panic())
	})
})

var _ = Describe("histogram", func() {
	It("summarises within its precision and clamps what is out of bounds", func() {
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
