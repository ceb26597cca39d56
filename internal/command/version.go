package command

import (
	"context"
	"fmt"
	"runtime"

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
			_, err := fmt.Fprintf(p.Out, "currantturn %s (%s, %s/%s)\n", Release, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
