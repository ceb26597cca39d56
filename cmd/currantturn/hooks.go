package main

import (
	"context"
	"errors"
	"io"
	"strings"

	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/process"
	"github.com/currantturn/currantturn/internal/try"
	"github.com/currantturn/currantturn/platform"
	"github.com/rotisserie/eris"
)

// hooks returns the implementations of the commands.
func hooks() command.Hooks {
	return command.Hooks{
		Balancer:         process.RunBalancer,
		Agent:            process.RunAgent,
		FlowBalancer:     process.RunFlowBalancer,
		FlowAgent:        process.RunFlowAgent,
		SettingsVariable: platform.SettingsVariable,
		Try:              runTry,
		CheckPatch:       checkPatch,

		CheckConfiguration: checkConfiguration,
	}
}

func runTry(ctx context.Context, o command.TryOptions, out, progress io.Writer) error {
	report, err := try.Run(ctx, try.Options{
		Deployment: o.Deployment, Duration: o.Duration, Seed: o.Seed, Progress: progress,
	})
	if errors.Is(err, try.ErrOptions) || errors.Is(err, try.ErrUnknownDeployment) {
		return eris.Wrap(command.ErrBadInput, err.Error())
	}
	if err != nil {
		return err
	}
	if o.Format == command.FormatJSON {
		err = report.WriteJSON(out)
	} else {
		err = report.WriteText(out)
	}
	if err != nil {
		return err
	}
	if failures := report.Failures(); len(failures) > 0 {
		return eris.Wrap(command.ErrRejected, strings.Join(failures, "; "))
	}
	return nil
}
