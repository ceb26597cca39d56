package admin

import (
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
)

// writeTable prints one line for each entry under a heading.
func writeTable[T any](w io.Writer, heading string, all []T, cells func(*T) []any) error {
	tab := newTable(w)
	fmt.Fprintln(tab, strings.ReplaceAll(heading, "|", "\t"))
	for i := range all {
		texts := cells(&all[i])
		line := make([]string, len(texts))
		for j, text := range texts {
			line[j] = strings.Map(printable, fmt.Sprint(text))
		}
		fmt.Fprintln(tab, strings.Join(line, "\t"))
	}
	return tab.Flush()
}

// WriteMembers prints members for people.
func WriteMembers(w io.Writer, all []Member) error {
	return writeTable(w, "NAME|ROLE|DOMAIN|LINK|STATE|INCARNATION|SINCE", all, func(m *Member) []any {
		return []any{m.Name, m.Role, m.FailureDomain, m.Link, m.State, m.Incarnation, timeText(m.Since)}
	})
}

// WriteFlows prints counts of flows for people.
func WriteFlows(w io.Writer, all []BackendFlows) error {
	return writeTable(w, "SERVICE|BACKEND|FLOWS", all, func(f *BackendFlows) []any {
		return []any{f.Service, f.Backend, f.Flows}
	})
}

// WriteVerdicts prints verdicts for people.
func WriteVerdicts(w io.Writer, all []Verdict) error {
	return writeTable(w, "POSITION|PUBLISHED|AUTHOR|VERDICT|VERSION|REASON", all, func(v *Verdict) []any {
		return []any{v.Position, timeText(v.Published), v.Author, v.Verdict, versionText(v.Version), v.Reason}
	})
}

// WriteAudit prints an audit trail for people.
func WriteAudit(w io.Writer, all []audit.Entry) error {
	return writeTable(w, "POSITION|PUBLISHED|AUTHOR|SEEN|VERDICT|VERSION|IN FORCE|REASON", all, func(e *audit.Entry) []any {
		return []any{
			e.Position, timeText(e.Published), e.Author, timeText(e.Seen),
			e.Verdict, versionText(e.Version), timeText(e.InForce), e.Reason,
		}
	})
}

// printable keeps a publisher's text from moving the terminal's cursor or the
// table's columns.
func printable(r rune) rune {
	if unicode.IsPrint(r) {
		return r
	}
	return '?'
}

func versionText(v currantturn.Version) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprint(v)
}
