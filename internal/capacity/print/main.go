// Command print updates the tables of the capacity page from the slopes file and
// prints them.
package main

import (
	"fmt"
	"os"

	"github.com/currantturn/currantturn/internal/capacity"
	"github.com/rotisserie/eris"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: print <slopes file> <page>")
		os.Exit(2)
	}
	if err := updatePage(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func updatePage(slopesPath, pagePath string) error {
	slopes, err := os.ReadFile(slopesPath)
	if err != nil {
		return eris.Wrap(err, "read the slopes file")
	}
	m, err := capacity.Parse(slopes)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	updated, err := m.ReplaceTable(page)
	if err != nil {
		return err
	}
	os.Stdout.Write(m.Table())
	return eris.Wrap(os.WriteFile(pagePath, updated, 0o644), "write the page")
}
