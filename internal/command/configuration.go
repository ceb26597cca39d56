package command

import (
	"context"
	"fmt"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/currantturn/currantturn/internal/vet"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const configurationDescription = `Checks the configuration of opaque flows in FILE, as it would be published, and
prints all errors, entries that never match and limits that contradict each other;
with --against, also what would change. Nothing is written. Exit code 0: no errors;
1: errors, so that it would not be in force, or a part of it would have no effect;
2: a file cannot be read.`

// ConfigurationCheck is a configuration to check before it is published.
type ConfigurationCheck struct {
	Configuration []byte
	InForce       []byte // configuration to compare with; nil for none
	Registrations []byte // store's listing of all registrations; nil for none
}

// ConfigurationVerdict is the result of a check.
type ConfigurationVerdict struct {
	Version  currantturn.Version `json:"version"`
	Accepted bool                `json:"accepted"` // false if there are errors
	Findings []vet.Finding       `json:"findings"`
	InForce  currantturn.Version `json:"in_force,omitempty"` // version compared with; 0 for none
	Changes  []string            `json:"changes"`
}

func (p *Program) configurationCommand() *cli.Command {
	check := &cli.Command{
		Name:        "check",
		Usage:       "check a configuration of opaque flows before it is published",
		ArgsUsage:   "FILE",
		Description: configurationDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "`FILE` with the configuration in force", TakesFile: true},
			&cli.StringFlag{Name: "registrations", Usage: "`FILE` with the store's listing of all registrations", TakesFile: true},
			formatFlag(),
		},
		Action: p.runConfigurationCheck,
	}
	return &cli.Command{Name: "configuration", Usage: "commands for configurations of opaque flows", Commands: []*cli.Command{check}}
}

func (p *Program) runConfigurationCheck(_ context.Context, c *cli.Command) error {
	args, err := requireArguments(c, "FILE")
	if err != nil {
		return err
	}
	var check ConfigurationCheck
	for _, f := range []struct {
		path    string
		content *[]byte
	}{
		{args[0], &check.Configuration},
		{c.String("against"), &check.InForce},
		{c.String("registrations"), &check.Registrations},
	} {
		if f.path == "" {
			continue
		}
		if *f.content, err = file.Read(f.path, maxConfigurationBytes); err != nil {
			return badInput("%v", err)
		}
	}
	if p.Hooks.CheckConfiguration == nil {
		return eris.Wrap(ErrNotInBuild, "configuration check")
	}
	verdict, err := p.Hooks.CheckConfiguration(check)
	if err != nil {
		return err
	}
	if selectedFormat(c) == FormatJSON {
		err = p.printJSON(verdict)
	} else {
		p.printConfigurationVerdict(verdict)
	}
	if err == nil && !verdict.Accepted {
		return eris.Wrap(ErrRejected, args[0])
	}
	return err
}

func (p *Program) printConfigurationVerdict(v *ConfigurationVerdict) {
	outcome := "no errors"
	if !v.Accepted {
		outcome = "errors"
	}
	fmt.Fprintf(p.Out, "version %d: %s\n", v.Version, outcome)
	for _, f := range v.Findings {
		fmt.Fprintln(p.Out, f)
	}
	if v.InForce == 0 {
		return
	}
	fmt.Fprintf(p.Out, "changes from version %d: %d\n", v.InForce, len(v.Changes))
	for _, change := range v.Changes {
		fmt.Fprintln(p.Out, change)
	}
}
