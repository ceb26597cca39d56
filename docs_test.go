package currantturn_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	pathPattern = regexp.MustCompile("`((?:internal|pkg|cmd|docs)/[^`* ]+)`")
	linkPattern = regexp.MustCompile(`\]\(([^)#:]+)\)`)
)

// TestDocsNameExistingFiles checks that the paths and links in the pages exist.
func TestDocsNameExistingFiles(t *testing.T) {
	pages, err := filepath.Glob("docs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages found in docs: %v", err)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range pathPattern.FindAllStringSubmatch(string(text), -1) {
			mustExist(t, page, strings.TrimSuffix(m[1], "/"))
		}
		for _, m := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			mustExist(t, page, filepath.Join(filepath.Dir(page), m[1]))
		}
	}
}

func mustExist(t *testing.T, page, path string) {
	t.Helper()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s refers to %s, which does not exist", page, path)
	}
}
