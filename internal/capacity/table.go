package capacity

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Markers of the part of a page that Renew replaces.
const (
	beginMark = "<!-- capacity: made by make capacity -->\n"
	endMark   = "<!-- capacity: end -->\n"
)

// Renew replaces the table between the markers of a page.
func (m *Model) Renew(page []byte) ([]byte, error) {
	before, rest, ok := bytes.Cut(page, []byte(beginMark))
	_, after, ok2 := bytes.Cut(rest, []byte(endMark))
	if !ok || !ok2 {
		return nil, eris.Wrap(currantturn.ErrMalformed, "the page has no markers for the table")
	}
	return slices.Concat(before, []byte(beginMark), m.Table(), []byte(endMark), after), nil
}

// Table renders the totals, the lines and the numbers in Markdown.
func (m *Model) Table() []byte {
	var b bytes.Buffer
	m.writeTotals(&b)
	for _, group := range m.groups() {
		m.writeGroup(&b, group[0], group[1])
	}
	m.writeNumbers(&b)
	return b.Bytes()
}

// groups are the pairs of role and case in the order of the file.
func (m *Model) groups() [][2]string {
	var out [][2]string
	for _, l := range m.Lines {
		if g := [2]string{l.Role, l.Case}; !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}

func (m *Model) writeTotals(b *bytes.Buffer) {
	b.WriteString("\n## Totals of control against the budget\n\n| Role | Case | Resource | Control | Budget | Share |\n|---|---|---|---|---|---|\n")
	for _, g := range m.groups() {
		for _, r := range resources {
			total := m.Total(g[0], g[1], r, Control)
			if total == 0 {
				continue
			}
			fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n",
				g[0], g[1], r, quantity(r, total), quantity(r, m.Budgets[r]), m.share(r, total))
		}
	}
}

func (m *Model) share(r Resource, v float64) string {
	s := fmt.Sprintf("%.1f%%", 100*v/m.Budgets[r])
	if v > m.Budgets[r] {
		s = "**" + s + ", over**"
	}
	return s
}

func (m *Model) writeGroup(b *bytes.Buffer, role, when string) {
	fmt.Fprintf(b, "\n## %s, %s\n\n| Cost | Resource | Plane | Amount | Share of the budget | Worked out as | Kind | Mechanism |\n|---|---|---|---|---|---|---|---|\n",
		strings.ToUpper(role[:1])+role[1:], when)
	for _, l := range m.Lines {
		if l.Role != role || l.Case != when {
			continue
		}
		share := "not control"
		if l.Plane == Control {
			share = m.share(l.Resource, l.Value)
		}
		text := l.Text
		if l.Change != "" {
			text += "; **change:** " + l.Change
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n",
			text, l.Resource, l.Plane, quantity(l.Resource, l.Value), share, m.worked(l.Formula), l.Kind, l.Mechanism)
	}
}

// worked shows a formula with its values.
func (m *Model) worked(formula string) string {
	words := strings.Fields(formula)
	for i, w := range words {
		if n := m.number(w); n != nil {
			words[i] = fmt.Sprintf("`%s` %s", w, plainNumber(n.Value))
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
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", n.Name, plainNumber(n.Value), n.Unit, n.Kind, n.Text, command, n.Range)
	}
	b.WriteString("\n")
}

// quantity renders nanoseconds a second, bytes or bytes a second.
func quantity(r Resource, v float64) string {
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

func plainNumber(v float64) string {
	if v >= 1e6 && v == float64(int64(v)) {
		return fmt.Sprintf("%d", int64(v))
	}
	return fmt.Sprintf("%.6g", v)
}
