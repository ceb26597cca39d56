package main

import (
	"context"

	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// checkPatch folds the log and judges the patch at the version it builds on.
func checkPatch(ctx context.Context, c command.PatchCheck) (*command.PatchVerdict, error) {
	log, err := readLog(ctx, c.Log)
	if err != nil {
		return nil, err
	}
	base, head, err := log.configurationAt(c.Against)
	if err != nil {
		return nil, eris.Wrapf(command.ErrBadInput, "%s: %v", c.Log, err)
	}
	verdict, diff := patch.Check(base, c.Patch)
	out := &command.PatchVerdict{Accepted: verdict.Outcome == patch.InForce, Version: verdict.Version, Head: head}
	for _, r := range verdict.Reasons {
		out.Reasons = append(out.Reasons, r.Error())
	}
	for _, change := range diff {
		out.Changes = append(out.Changes, change.String())
	}
	return out, nil
}
