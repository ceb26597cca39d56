package command

import (
	"context"

	"github.com/currantturn/currantturn/internal/settings"
	"github.com/urfave/cli/v3"
)

func (p *Program) settingsCommand() *cli.Command {
	check := &cli.Command{
		Name:      "check",
		Usage:     "print the effective settings of a file, or every error in it",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			args, err := requireArguments(c, "FILE")
			if err != nil {
				return err
			}
			o, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			return settings.WriteOptions(p.Out, o)
		},
	}
	return &cli.Command{Name: "settings", Usage: "commands for settings files", Commands: []*cli.Command{check}}
}
