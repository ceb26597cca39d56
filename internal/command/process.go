package command

import (
	"cmp"
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/settings"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

type processHook func(context.Context, *Process) error

var (
	errForcedStop    = eris.New("stopped immediately by a second signal")
	errGraceExceeded = eris.New("graceful shutdown exceeded shutdown_grace")
)

// terminationSignals subscribes to SIGTERM and SIGINT until the returned
// function is called.
func terminationSignals() (<-chan os.Signal, func()) {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	return c, func() { signal.Stop(c) }
}

// processCommand returns the command that runs the hook of a role.
func (p *Program) processCommand(role, usage string, hook processHook) *cli.Command {
	return &cli.Command{
		Name:  role,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "INI `FILE` of the process", Required: true, TakesFile: true,
			Sources: cli.EnvVars(p.Hooks.SettingsVariable),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := requireArguments(c); err != nil {
				return err
			}
			o, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			if string(o.Process.Role) != role {
				return settings.Problems{{
					File: c.String("settings"), Section: "process", Key: "role", Text: "is " + string(o.Process.Role) + ", not " + role,
				}}
			}
			if hook == nil {
				return eris.Wrap(ErrNotInBuild, role)
			}
			return p.runProcess(ctx, c.String("settings"), o, hook)
		},
	}
}

// runProcess runs a hook, stops it on a termination signal, and logs its start
// and end.
func (p *Program) runProcess(ctx context.Context, path string, o *settings.Options, hook processHook) error {
	out, takeDropped, closeLog := p.logOutput(o.Process.Role)
	defer closeLog()
	logger := event.NewLogger(out, o.Log.Format, o.Log.Level, o.Process.Name)
	report := func(number int, fields ...currantturn.Field) {
		logger.Log(p.Now(), currantturn.Event{Number: number, Fields: fields})
	}
	reportCtx, stopReporting := context.WithCancel(ctx)
	defer stopReporting()
	go reportDroppedLines(reportCtx, takeDropped, report)
	linkAddress := cmp.Or(o.Link.Address, o.Relay.LinkAddress) // each role sets only one of them
	report(event.ProcessStarted, event.F("role", o.Process.Role), event.F("version", Release), event.F("build", buildRevision()), event.F("address", linkAddress))
	started := p.Now()
	err := p.supervise(ctx, path, o, logger, report, hook)
	if err != nil {
		report(event.ProcessFailed, event.F("error", err))
		return err
	}
	report(event.ProcessStopped, event.F("elapsed", p.Now().Sub(started)))
	return nil
}

// logOutput returns the log writer of a role. Agents and balancers of opaque
// flows log to standard output and drop lines rather than wait for a slow reader;
// takeDropped returns the number of lines dropped since its last call.
func (p *Program) logOutput(r currantturn.Role) (w io.Writer, takeDropped func() uint64, closeLog func()) {
	if r != currantturn.RoleFlowBalancer && r != currantturn.RoleFlowAgent {
		return p.Err, func() uint64 { return 0 }, func() {}
	}
	out := event.NewWriter(p.Out)
	return out, out.TakeDropped, func() { _ = out.Close() } // never fails
}

// reportDroppedLines logs the number of dropped log lines at intervals until the
// context ends.
func reportDroppedLines(ctx context.Context, takeDropped func() uint64, report func(int, ...currantturn.Field)) {
	t := time.NewTicker(dropReportInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n := takeDropped(); n > 0 {
			report(event.LogLinesLeftOut, event.F("lines", n))
		}
	}
}

// supervise runs the hook and stops it gracefully on the first signal. After a
// second signal, or once shutdown_grace has passed, it cancels the hook's context
// and waits at most forcedStopDelay.
func (p *Program) supervise(
	ctx context.Context, path string, o *settings.Options, logger *event.Logger, report func(int, ...currantturn.Field), hook processHook,
) error {
	signals, stopSignals := p.Signals()
	defer stopSignals()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- hook(ctx, &Process{
			Options: o, SettingsPath: path, Reload: reload, Log: logger, AuditOut: p.Err, Stop: stop,
		})
	}()

	select {
	case err := <-done:
		return err
	case <-signals:
	}
	report(event.ShutdownStarted, event.F("grace", o.Process.ShutdownGrace))
	close(stop)
	grace := time.NewTimer(o.Process.ShutdownGrace)
	defer grace.Stop()
	var stopErr error
	select {
	case err := <-done:
		return err
	case <-signals:
		report(event.ShutdownForced)
		stopErr = errForcedStop
	case <-grace.C:
		stopErr = errGraceExceeded
	}
	cancel()
	select {
	case <-done:
	case <-time.After(forcedStopDelay):
	}
	return stopErr
}
