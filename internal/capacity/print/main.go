// Command print renews the table of the capacity page from the slopes file.
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
	if err := renew(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func renew(slopes, page string) error {
	p, err := os.ReadFile(slopes)
	if err != nil {
		return eris.Wrap(err, "read the slopes")
	}
	m, err := capacity.Parse(p)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return eris.Wrap(err, "read the page")
	}
	renewed, err := m.Renew(old)
	if err != nil {
		return err
	}
	os.Stdout.Write(m.Table())
	return eris.Wrap(os.WriteFile(page, renewed, 0o644), "write the page")
}
