package settings

import (
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/currantturn/currantturn"
)

// tablePadding is the number of spaces between columns.
const tablePadding = 2

// WriteOptions prints each key that applies to the role of the options, with its
// value, unit and range.
func WriteOptions(w io.Writer, o *Options) error {
	tab := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	section := ""
	for _, d := range Definitions() {
		if !d.appliesTo(o.Process.Role) {
			continue
		}
		if d.Section != section {
			section = d.Section
			fmt.Fprintf(tab, "[%s]\n", section)
		}
		fmt.Fprintf(tab, "%s\t= %s\t; %s, %s\n", d.Key, valueText(d.value(o)), d.Unit, d.Range)
	}
	return tab.Flush()
}

// valueText formats a value; an address or URL that is not set is empty.
func valueText(v any) string {
	switch v := v.(type) {
	case netip.AddrPort:
		if !v.IsValid() {
			return ""
		}
	case *url.URL:
		if v == nil {
			return ""
		}
	case []netip.AddrPort:
		return joinText(v)
	case []*url.URL:
		return joinText(v)
	}
	return fmt.Sprint(v)
}

func joinText[T fmt.Stringer](all []T) string {
	texts := make([]string, len(all))
	for i, v := range all {
		texts[i] = v.String()
	}
	return strings.Join(texts, ", ")
}

// WriteDocs prints a Markdown table of the keys of each section.
func WriteDocs(w io.Writer) error {
	var b strings.Builder
	section := ""
	for _, d := range Definitions() {
		if d.Section != section {
			section = d.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| Key | Role | Unit | Default | Range | Meaning |\n|---|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", d.Key, roleText(d.Roles), d.Unit, defaultText(&d), d.Range, d.Description)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func roleText(roles []currantturn.Role) string {
	if len(roles) == 0 {
		return "all"
	}
	texts := make([]string, len(roles))
	for i, r := range roles {
		texts[i] = string(r)
	}
	return strings.Join(texts, ", ")
}

func defaultText(d *Definition) string {
	switch {
	case d.Required:
		return "required"
	case d.Default == "":
		return "none"
	default:
		return d.Default
	}
}
