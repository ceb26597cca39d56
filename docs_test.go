package currantturn_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	named  = regexp.MustCompile("`((?:internal|pkg|cmd|docs)/[^`* ]+)`")
	linked = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// TestDocsNameExistingFiles finds paths and links in the pages that lead nowhere.
func TestDocsNameExistingFiles(t *testing.T) {
	pages, err := filepath.Glob("docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range named.FindAllStringSubmatch(string(text), -1) {
			mustExist(t, page, strings.TrimSuffix(m[1], "/"))
		}
		for _, m := range linked.FindAllStringSubmatch(string(text), -1) {
			mustExist(t, page, filepath.Join(filepath.Dir(page), m[1]))
		}
	}
}

func mustExist(t *testing.T, page, path string) {
	t.Helper()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s names %s, which does not exist", page, path)
	}
}
