package command

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/file"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

const patchDescription = `Checks the patch in FILE as every process would if it were published directly
after the given version of the log, and prints its changes. Nothing is written.
Exit code 0: the patch would be in force; 1: it would be rejected; 2: the patch
or the log cannot be read.`

func (p *Program) patchCommand() *cli.Command {
	check := &cli.Command{
		Name:        "check",
		Usage:       "check a patch before it is published",
		ArgsUsage:   "FILE",
		Description: patchDescription,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "against", Usage: "`VERSION` that the patch builds on", Required: true},
			&cli.StringFlag{Name: "log", Usage: "`FILE_OR_URL` of the published log", Required: true, TakesFile: true},
			formatFlag(),
		},
		Action: p.runPatchCheck,
	}
	return &cli.Command{Name: "patch", Usage: "commands for configuration patches", Commands: []*cli.Command{check}}
}

func (p *Program) runPatchCheck(ctx context.Context, c *cli.Command) error {
	args, err := requireArguments(c, "FILE")
	if err != nil {
		return err
	}
	patch, err := file.Read(args[0], maxPatchBytes)
	if err != nil {
		return badInput("%v", err)
	}
	if p.Hooks.CheckPatch == nil {
		return eris.Wrap(ErrNotInBuild, "patch check")
	}
	against := currantturn.Version(c.Uint64("against"))
	verdict, err := p.Hooks.CheckPatch(ctx, PatchCheck{Patch: patch, Against: against, Log: c.String("log")})
	if err != nil {
		return err
	}
	if err := p.printVerdict(verdict, against, selectedFormat(c)); err != nil {
		return err
	}
	if !verdict.Accepted {
		return eris.Wrap(ErrRejected, args[0])
	}
	return nil
}

func (p *Program) printVerdict(v *PatchVerdict, against currantturn.Version, format Format) error {
	if format == FormatJSON {
		return p.printJSON(v)
	}
	if v.Accepted {
		fmt.Fprintf(p.Out, "in force as version %d\n", v.Version)
	} else {
		fmt.Fprintf(p.Out, "rejected; version %d stays in force\n", v.Version)
	}
	for _, reason := range v.Reasons {
		fmt.Fprintf(p.Out, "! %s\n", reason)
	}
	for _, change := range v.Changes {
		fmt.Fprintf(p.Out, "%s\n", change)
	}
	if v.Head > against {
		fmt.Fprintf(p.Out, "note: the log has reached version %d; a new patch must build on that version\n", v.Head)
	}
	return nil
}

func (p *Program) printJSON(v any) error {
	e := json.NewEncoder(p.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
