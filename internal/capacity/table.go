package capacity

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Markers around the part of a page that ReplaceTable replaces.
const (
	beginMarker = "<!-- capacity: made by make capacity -->\n"
	endMarker   = "<!-- capacity: end -->\n"
)

// ReplaceTable returns the page with new tables between its markers.
func (m *Model) ReplaceTable(page []byte) ([]byte, error) {
	before, rest, foundBegin := bytes.Cut(page, []byte(beginMarker))
	_, after, foundEnd := bytes.Cut(rest, []byte(endMarker))
	if !foundBegin || !foundEnd {
		return nil, eris.Wrap(currantturn.ErrMalformed, "the page has no markers for the tables")
	}
	return slices.Concat(before, []byte(beginMarker), m.Table(), []byte(endMarker), after), nil
}

// Table renders the totals, the lines of each role and case, and the numbers as Markdown.
func (m *Model) Table() []byte {
	var b bytes.Buffer
	m.writeTotals(&b)
	for _, rc := range m.roleCases() {
		m.writeRoleCase(&b, rc[0], rc[1])
	}
	m.writeNumbers(&b)
	return b.Bytes()
}

// roleCases returns the pairs of role and case in the order of the file.
func (m *Model) roleCases() [][2]string {
	var out [][2]string
	for _, l := range m.Lines {
		if rc := [2]string{l.Role, l.Case}; !slices.Contains(out, rc) {
			out = append(out, rc)
		}
	}
	return out
}

func (m *Model) writeTotals(b *bytes.Buffer) {
	b.WriteString("\n## Totals of control against the budget\n\n| Role | Case | Resource | Control | Budget | Share |\n|---|---|---|---|---|---|\n")
	for _, rc := range m.roleCases() {
		for _, r := range resources {
			total := m.Total(rc[0], rc[1], r, Control)
			if total == 0 {
				continue
			}
			fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n",
				rc[0], rc[1], r, formatQuantity(r, total), formatQuantity(r, m.Budgets[r]), m.formatShare(r, total))
		}
	}
}

// formatShare formats v as a percentage of the resource's budget.
func (m *Model) formatShare(r Resource, v float64) string {
	s := fmt.Sprintf("%.1f%%", 100*v/m.Budgets[r])
	if v > m.Budgets[r] {
		s = "**" + s + ", over**"
	}
	return s
}

func (m *Model) writeRoleCase(b *bytes.Buffer, role, caseName string) {
	fmt.Fprintf(b, "\n## %s, %s\n\n| Cost | Resource | Plane | Amount | Share of the budget | Worked out as | Kind | Mechanism |\n|---|---|---|---|---|---|---|---|\n",
		strings.ToUpper(role[:1])+role[1:], caseName)
	for _, l := range m.Lines {
		if l.Role != role || l.Case != caseName {
			continue
		}
		share := "not control"
		if l.Plane == Control {
			share = m.formatShare(l.Resource, l.Value)
		}
		text := l.Text
		if l.Change != "" {
			text += "; **change:** " + l.Change
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			text, l.Resource, l.Plane, formatQuantity(l.Resource, l.Value), share, m.formulaWithValues(l.Formula), l.Kind, l.Mechanism)
	}
}

// formulaWithValues formats a formula with the value of each number after its name.
func (m *Model) formulaWithValues(formula string) string {
	words := strings.Fields(formula)
	for i, w := range words {
		if n := m.findNumber(w); n != nil {
			words[i] = fmt.Sprintf("`%s` %s", w, formatNumber(n.Value))
		}
	}
	return strings.Join(words, " ")
}

func (m *Model) writeNumbers(b *bytes.Buffer) {
	b.WriteString("\n## Numbers\n\n| Name | Value | Unit | Kind | Meaning | Command | Measured range |\n|---|---|---|---|---|---|---|\n")
	for _, n := range m.Numbers {
		command := n.Command
		if command != "" {
			command = "`" + command + "`"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", n.Name, formatNumber(n.Value), n.Unit, n.Kind, n.Text, command, n.Range)
	}
	b.WriteString("\n")
}

// formatQuantity formats an amount: nanoseconds per second for Processor, bytes for
// Memory, reads per second for Reads and bytes per second for Network.
func formatQuantity(r Resource, v float64) string {
	switch r {
	case Processor:
		return fmt.Sprintf("%.3f%% of a core", v/1e9*100)
	case Memory:
		return fmt.Sprintf("%.2f MB", v/1e6)
	case Reads:
		return fmt.Sprintf("%.1f reads/s", v)
	}
	return fmt.Sprintf("%.0f B/s", v)
}

// formatNumber formats large integers with all their digits and other values with six
// significant digits.
func formatNumber(v float64) string {
	if v >= 1e6 && v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.6g", v)
}
