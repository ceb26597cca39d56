package admin

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// textPadding is the number of spaces between columns.
const textPadding = 2

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, textPadding, ' ', 0)
}

// WriteText prints a status as text.
func (s *Status) WriteText(w io.Writer) error {
	tab := newTable(w)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(tab, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("process", "%s (%s in %s), release %s", s.Name, s.Role, s.FailureDomain, s.Release)
	row("state", "%s, up %s", s.stateText(), s.Uptime.Truncate(time.Second))
	row("configuration", "version %d in force%s", s.Configuration.Version, s.Configuration.detailText())
	if s.Configuration.Digest != "" {
		row("digest", "%s", s.Configuration.Digest)
	}
	row("last read", "%s", timeText(s.Configuration.LastRead))
	row("members", "%s", membersText(s.Members))
	row("flows", "%d", s.Flows)
	if r := s.Requests; r != nil {
		row("requests", "%d of %d slots, %d queued, %d records", r.Running, r.Slots, r.Queued, r.Records)
	}
	return tab.Flush()
}

func (s *Status) stateText() string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Serving:
		return "serving"
	default:
		return "not serving"
	}
}

// detailText describes since when the version is in force and how many known
// records the process has yet to apply.
func (c *ConfigurationStatus) detailText() string {
	text := ""
	if !c.InForce.IsZero() {
		text = " since " + timeText(c.InForce)
	}
	if c.HighestPosition > c.Position {
		text += fmt.Sprintf("; %d records behind", c.HighestPosition-c.Position)
	}
	return text
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format(time.RFC3339)
}

func membersText(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[state], state))
	}
	return strings.Join(parts, ", ")
}
