package command

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

func (p *Program) versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version of the program",
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := requireArguments(c); err != nil {
				return err
			}
			_, err := fmt.Fprintf(p.Out, "currantturn %s, build %s (%s, %s/%s)\n", Release, buildRevision(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}

// buildRevision returns the commit that the program was built from, with a plus sign if files
// were modified, or "unknown" if it was built outside a checkout.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	revision, modified := unknownRevision, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), revisionDigits)]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = "+"
		}
	}
	return revision + modified
}
