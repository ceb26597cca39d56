package main

import (
	"context"

	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/rotisserie/eris"
)

// checkPatch reads the log and checks the patch against the version that it builds
// on.
func checkPatch(ctx context.Context, c command.PatchCheck) (*command.PatchVerdict, error) {
	log, err := readLog(ctx, c.Log)
	if err != nil {
		return nil, err
	}
	base, head, err := log.configurationAt(c.Against)
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", c.Log, err)
	}
	return &command.PatchVerdict{DryRun: admin.CheckPatch(base, c.Patch), Head: head}, nil
}
