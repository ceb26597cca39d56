package harness

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	sectionPattern     = regexp.MustCompile(`(?ms)^\{\{#([a-z_.0-9]+)\}\}\n(.*?)^\{\{/([a-z_.0-9]+)\}\}\n`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in a settings template of the deploy file: plain placeholders, and sections
// that are kept if their value is present and not false.
func render(template string, values map[string]string) (string, error) {
	out := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if v := values[parts[1]]; v == "" || v == "false" {
			return ""
		}
		return parts[2]
	})
	out = placeholderPattern.ReplaceAllStringFunc(out, func(p string) string {
		return values[strings.Trim(p, "{}")]
	})
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("the template has a placeholder that is not supported: %s", out)
	}
	return out, nil
}
