package capacity_test

import (
	"os"
	"strings"
	"testing"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/capacity"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapacity(t *testing.T) { suite.Run(t, "capacity") }

const smallModel = `
[budget.network]
value = 100
[number.hosts]
value = 20
kind = given
[number.rate]
value = 3
kind = measured
command = go test
range = 1 to 2
[number.guess]
value = 4
kind = estimate
[line.a]
role = agent
case = steady
resource = network
plane = control
formula = hosts * rate / guess
text = probes
mechanism = membership
[line.b]
role = agent
case = steady
resource = network
plane = control
formula = hosts * rate * rate
text = answers
mechanism = membership
change = send fewer
`

var _ = Describe("capacity", func() {
	It("evaluates lines, their kinds and totals", func() {
		m, err := capacity.Parse([]byte(smallModel))
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Lines[0]).To(And(HaveField("Value", 15.0), HaveField("Kind", capacity.Estimate)))
		Expect(m.Lines[1]).To(And(HaveField("Value", 180.0), HaveField("Kind", capacity.Derived)))
		Expect(m.Total("agent", "steady", capacity.Network, capacity.Control)).To(Equal(195.0))
		Expect(m.Total("agent", "steady", capacity.Network, capacity.Packets)).To(BeZero())
		Expect(string(m.Table())).To(And(
			ContainSubstring("| agent | steady | network | 195 B/s | 100 B/s | **195.0%, over** |"),
			ContainSubstring("answers; **change:** send fewer"),
			ContainSubstring("`hosts` 20 * `rate` 3 / `guess` 4"),
		))
	})

	DescribeTable("rejects an invalid file", func(old, replacement string) {
		text := strings.Replace(smallModel, old, replacement, 1)
		Expect(text).NotTo(Equal(smallModel))
		_, err := capacity.Parse([]byte(text))
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	},
		Entry("unknown number", "hosts * rate / guess", "hosts * speed"),
		Entry("measured number without a command", "command = go test\n", ""),
		Entry("measured number without a range", "range = 1 to 2\n", ""),
		Entry("unknown kind", "kind = estimate", "kind = guess"),
		Entry("value that is not a number", "value = 20", "value = many"),
		Entry("line without a mechanism", "mechanism = membership\n", ""),
		Entry("unknown resource", "resource = network", "resource = patience"),
		Entry("unknown section", "[line.a]", "[row.a]"),
	)

	It("produces the tables of docs/CAPACITY.md", func() {
		slopes, err := os.ReadFile("../../docs/capacity/slopes.ini")
		Expect(err).NotTo(HaveOccurred())
		m, err := capacity.Parse(slopes)
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile("../../docs/CAPACITY.md")
		Expect(err).NotTo(HaveOccurred())
		updated, err := m.ReplaceTable(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(updated)).To(Equal(string(page)), "docs/CAPACITY.md is out of date; run make capacity")
		for _, l := range m.Lines {
			if l.Plane == capacity.Control && l.Value > m.Budgets[l.Resource] {
				Expect(l.Change).NotTo(BeEmpty(), l.Name)
			}
		}
		_, err = m.ReplaceTable([]byte("no markers"))
		Expect(err).To(MatchError(currantturn.ErrMalformed))
	})
})
