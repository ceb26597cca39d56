package admin

import (
	"fmt"
	"io"
	"strings"
	"unicode"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
)

// writeTable prints a heading, whose columns are separated by |, and one line for
// each entry.
func writeTable[T any](w io.Writer, heading string, entries []T, cells func(*T) []any) error {
	tab := newTable(w)
	fmt.Fprintln(tab, strings.ReplaceAll(heading, "|", "\t"))
	for i := range entries {
		values := cells(&entries[i])
		line := make([]string, len(values))
		for j, value := range values {
			line[j] = strings.Map(replaceUnprintable, fmt.Sprint(value))
		}
		fmt.Fprintln(tab, strings.Join(line, "\t"))
	}
	return tab.Flush()
}

// WriteMembers prints members as a table.
func WriteMembers(w io.Writer, members []Member) error {
	return writeTable(w, "NAME|ROLE|DOMAIN|LINK|STATE|INCARNATION|SINCE", members, func(m *Member) []any {
		return []any{m.Name, m.Role, m.FailureDomain, m.Link, m.State, m.Incarnation, timeText(m.Since)}
	})
}

// WriteFlows prints counts of flows as a table.
func WriteFlows(w io.Writer, flows []BackendFlows) error {
	return writeTable(w, "SERVICE|BACKEND|FLOWS", flows, func(f *BackendFlows) []any {
		return []any{f.Service, f.Backend, f.Flows}
	})
}

// WriteVerdicts prints verdicts as a table.
func WriteVerdicts(w io.Writer, verdicts []Verdict) error {
	return writeTable(w, "POSITION|PUBLISHED|AUTHOR|VERDICT|VERSION|REASON", verdicts, func(v *Verdict) []any {
		return []any{v.Position, timeText(v.Published), v.Author, v.Verdict, versionText(v.Version), v.Reason}
	})
}

// WriteAudit prints an audit trail as a table.
func WriteAudit(w io.Writer, entries []audit.Entry) error {
	return writeTable(w, "POSITION|PUBLISHED|AUTHOR|SEEN|VERDICT|VERSION|IN FORCE|REASON", entries, func(e *audit.Entry) []any {
		return []any{
			e.Position, timeText(e.Published), e.Author, timeText(e.Seen),
			e.Verdict, versionText(e.Version), timeText(e.InForce), e.Reason,
		}
	})
}

// replaceUnprintable prevents text from a publisher from controlling the terminal
// or shifting the columns of the table.
func replaceUnprintable(r rune) rune {
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
