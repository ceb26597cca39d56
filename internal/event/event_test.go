package event_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
)

func TestEvent(t *testing.T) { suite.Run(t, "event") }

const docHeader = `# Events

Each log line carries the number and the name of its event (fields ` + "`event` and `event_name`" + `).
At most 20 lines a second are written per number and process; the field
` + "`suppressed`" + ` of a later line gives the number of suppressed events. After a change of
the catalogue, renew this page by ` + "`go test ./internal/event -update`" + `.
`

func renderCatalogue() []byte {
	var b bytes.Buffer
	b.WriteString(docHeader)
	for _, r := range event.Ranges() {
		fmt.Fprintf(&b, "\n## %dxx %s\n\n| Number | Name | Level | Text | Fields |\n|---|---|---|---|---|\n", r.First/100, r.Subject)
		for _, d := range r.Definitions {
			fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", d.Number, d.Name, d.Level, d.Text, strings.Join(d.Fields, ", "))
		}
	}
	return b.Bytes()
}

func TestDocsListEveryEvent(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "EVENTS", renderCatalogue())
}

// declaredNames returns the names of the package's numbered constants in snake case.
func declaredNames() map[string]bool {
	names := map[string]bool{}
	files, err := filepath.Glob("*.go")
	Expect(err).NotTo(HaveOccurred())
	for _, path := range files {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		Expect(err).NotTo(HaveOccurred())
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if ok && len(spec.Values) == 1 && spec.Names[0].IsExported() {
				if lit, ok := spec.Values[0].(*ast.BasicLit); ok && lit.Kind == token.INT {
					names[snakeCase(spec.Names[0].Name)] = true
				}
			}
			return true
		})
	}
	return names
}

func snakeCase(s string) string {
	var b strings.Builder
	for i, r := range s {
		upper := r >= 'A' && r <= 'Z'
		previousUpper := i > 0 && s[i-1] >= 'A' && s[i-1] <= 'Z'
		nextLower := i+1 < len(s) && s[i+1] >= 'a' && s[i+1] <= 'z'
		if upper && i > 0 && (!previousUpper || nextLower) {
			b.WriteByte('_')
		}
		b.WriteString(strings.ToLower(string(r)))
	}
	return b.String()
}

var _ = Describe("catalogue", func() {
	It("has exactly one definition for each constant, under the constant's name", func() {
		declared := declaredNames()
		seen := map[string]bool{}
		for _, r := range event.Ranges() {
			for _, d := range r.Definitions {
				Expect(seen[d.Name]).To(BeFalse(), d.Name)
				seen[d.Name] = true
				Expect(d.Number-d.Number%100).To(Equal(r.First), d.Name)
				Expect(event.Lookup(d.Number).Name).To(Equal(d.Name))
				Expect(d.Text).NotTo(BeEmpty(), d.Name)
				Expect(d.Level).To(BeElementOf(event.Debug, event.Info, event.Warning, event.Error))
			}
		}
		Expect(seen).To(Equal(declared))
	})

	It("rejects numbers and field names that are not in the catalogue", func() {
		e := currantturn.Event{Number: event.MemberDead, Fields: []currantturn.Field{event.F("member", "a")}}
		Expect(event.Check(e)).To(Succeed())
		e.Fields = append(e.Fields, event.F("colour", "red"))
		Expect(event.Check(e)).To(MatchError(currantturn.ErrMalformed))
		Expect(event.Check(currantturn.Event{Number: 999})).To(MatchError(currantturn.ErrMalformed))
	})
})

var _ = Describe("logger", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	e := currantturn.Event{Number: event.PatchRejected, Fields: []currantturn.Field{
		event.F("version", 7), event.F("reason", fmt.Errorf("no such service")),
	}}

	DescribeTable("writes one line", func(format event.Format, want string) {
		var b bytes.Buffer
		event.NewLogger(&b, format, event.Info, "vm-1").Log(now, e)
		Expect(b.String()).To(Equal(want))
	},
		Entry("as JSON", event.JSON, `{"event":203,"event_name":"patch_rejected","level":"warning","msg":"patch was rejected",`+
			`"process":"vm-1","reason":"no such service","time":"2026-01-02T03:04:05Z","version":7}`+"\n"),
		Entry("as text", event.Text, `time="2026-01-02T03:04:05Z" level=warning msg="patch was rejected" event=203 `+
			`event_name=patch_rejected process=vm-1 reason="no such service" version=7`+"\n"),
	)

	It("limits the rate of one number and logs how many events were suppressed", func() {
		var b bytes.Buffer
		l := event.NewLogger(&b, event.JSON, event.Info, "vm-1")
		for range 50 {
			l.Log(now, e)
		}
		Expect(strings.Count(b.String(), "\n")).To(Equal(20))
		b.Reset()
		l.Log(now.Add(time.Second), e)
		Expect(b.String()).To(ContainSubstring(`"suppressed":30`))
	})

	It("omits events below its level and logs the number of unknown ones", func() {
		var b bytes.Buffer
		l := event.NewLogger(&b, event.Text, event.Warning, "vm-1")
		l.LogAll(now, []currantturn.Event{{Number: event.ConfigurationInForce}, {Number: 999}})
		Expect(b.String()).To(ContainSubstring("event=999"))
		Expect(strings.Count(b.String(), "\n")).To(Equal(1))
	})
})
