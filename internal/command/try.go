package command

import (
	"context"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const tryDescription = `Runs the deployment in one process on loopback, with callers, planned changes and
a patch during the run, and prints a report. Exit code 1 means that an invariant
failed.`

func (p *Program) tryCommand() *cli.Command {
	return &cli.Command{
		Name:        "try",
		Usage:       "run a whole deployment on this machine",
		Description: tryDescription,
		Commands: []*cli.Command{
			p.tryDeploymentCommand("authority", "Vehicle History Verification Gateway: verify and reports"),
			p.tryDeploymentCommand("polepa", "wrap proofing: proofdesk and printvault"),
		},
	}
}

func (p *Program) tryDeploymentCommand(name, usage string) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		Description: tryDescription,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: defaultTryDuration, Usage: "length of the run"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random choices"},
			formatFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := requireArguments(c); err != nil {
				return err
			}
			if p.Hooks.Try == nil {
				return eris.Wrap(ErrNotInBuild, "try "+name)
			}
			return p.Hooks.Try(ctx, TryOptions{
				Deployment: name, Duration: c.Duration("duration"), Seed: c.Uint64("seed"), Format: selectedFormat(c),
			}, p.Out, p.Err)
		},
	}
}
