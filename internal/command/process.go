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
	errForced  = eris.New("stopped at once by a second signal")
	errOverran = eris.New("graceful shutdown exceeded its grace")
)

func terminationSignals() (<-chan os.Signal, func()) {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	return c, func() { signal.Stop(c) }
}

func (p *Program) processCommand(role, usage string, hook processHook) *cli.Command {
	return &cli.Command{
		Name:  role,
		Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Usage: "INI `FILE` of the process", Required: true, TakesFile: true,
			Sources: cli.EnvVars(p.Hooks.SettingsVariable),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if _, err := arguments(c); err != nil {
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
				return eris.Wrap(ErrNotWired, role)
			}
			return p.runProcess(ctx, c.String("settings"), o, hook)
		},
	}
}

// runProcess runs a hook, logs its life and turns signals into its stop.
func (p *Program) runProcess(ctx context.Context, path string, o *settings.Options, hook processHook) error {
	out, leftOut, closeLog := p.logOutput(o.Process.Role)
	defer closeLog()
	logger := event.NewLogger(out, o.Log.Format, o.Log.Level, o.Process.Name)
	report := func(number int, fields ...currantturn.Field) {
		logger.Log(p.Now(), currantturn.Event{Number: number, Fields: fields})
	}
	watched, unwatch := context.WithCancel(ctx)
	defer unwatch()
	go reportLeftOut(watched, leftOut, report)
	link := cmp.Or(o.Link.Address, o.Relay.LinkAddress) // a role has one of them
	report(event.ProcessStarted, event.F("role", o.Process.Role), event.F("version", Release), event.F("address", link))
	started := p.Now()
	err := p.supervise(ctx, path, o, logger, report, hook)
	if err != nil {
		report(event.ProcessFailed, event.F("error", err))
		return err
	}
	report(event.ProcessStopped, event.F("elapsed", p.Now().Sub(started)))
	return nil
}

// logOutput returns where a role logs to, and what ends that. Agents and
// balancers of opaque flows log to standard output and never wait for its
// reader.
func (p *Program) logOutput(r currantturn.Role) (w io.Writer, leftOut func() uint64, closeLog func()) {
	if r != currantturn.RoleFlowBalancer && r != currantturn.RoleFlowAgent {
		return p.Err, func() uint64 { return 0 }, func() {}
	}
	out := event.NewWriter(p.Out)
	return out, out.TakeLeftOut, func() { _ = out.Close() } // which never fails
}

// reportLeftOut tells of the log lines that a slow reader misses, until the
// context ends.
func reportLeftOut(ctx context.Context, leftOut func() uint64, report func(int, ...currantturn.Field)) {
	t := time.NewTicker(leftOutEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if n := leftOut(); n > 0 {
			report(event.LogLinesLeftOut, event.F("lines", n))
		}
	}
}

// supervise waits for the hook; after a second signal or an overrun grace it
// waits no longer than forcedStopDelay.
func (p *Program) supervise(
	ctx context.Context, path string, o *settings.Options, logger *event.Logger, report func(int, ...currantturn.Field), hook processHook,
) error {
	signals, restore := p.Signals()
	defer restore()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	done := make(chan error, 1)
	go func() {
		done <- hook(ctx, &Process{
			Options: o, Path: path, Reload: reload, Log: logger, Audit: p.Err, Stop: stop,
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
	var forced error
	select {
	case err := <-done:
		return err
	case <-signals:
		report(event.ShutdownForced)
		forced = errForced
	case <-grace.C:
		forced = errOverran
	}
	cancel()
	select {
	case <-done:
	case <-time.After(forcedStopDelay):
	}
	return forced
}
