package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/currantturn/currantturn/internal/settings"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Program is the command line with its output, clock and signals, which tests
// replace.
type Program struct {
	Hooks   Hooks
	Out     io.Writer
	Err     io.Writer
	Now     func() time.Time
	Signals func() (signals <-chan os.Signal, stop func())
}

// New returns a program that uses the process's own output, clock and signals.
func New(h Hooks) *Program {
	return &Program{Hooks: h, Out: os.Stdout, Err: os.Stderr, Now: time.Now, Signals: terminationSignals}
}

// Run executes a command line and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	err := p.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(p.Err, text)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, ErrRejected):
		return ExitRejected
	case errors.Is(err, ErrBadInput), errors.Is(err, settings.ErrInvalid):
		return ExitBadInput
	default:
		return ExitFailure
	}
}

const rootDescription = `currantturn distributes callers' packets over the backend servers of a service and
keeps every established flow on its backend server.

Exit codes: 0 success; 1 an invariant failed, or a patch or configuration is
rejected; 2 bad
settings, arguments or files; 3 the command could not be executed.

SIGTERM or SIGINT stops a balancer or an agent gracefully, within the setting
[process] shutdown_grace; a second signal stops it immediately.`

func (p *Program) root() *cli.Command {
	root := &cli.Command{
		Name:                  "currantturn",
		Usage:                 "layer-4 load balancer",
		Description:           rootDescription,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Writer:         p.Out,
		ErrWriter:      p.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			p.processCommand("balancer", "run the balancer of an entry VM", p.Hooks.Balancer),
			p.processCommand("agent", "run the agent beside a backend server", p.Hooks.Agent),
			p.processCommand("flow_balancer", "run the balancer of an entry VM for opaque flows", p.Hooks.FlowBalancer),
			p.processCommand("flow_agent", "run the agent beside a backend server of opaque flows", p.Hooks.FlowAgent),
			p.patchCommand(),
			p.configurationCommand(),
			p.statusCommand(),
			p.settingsCommand(),
			p.explainCommand(),
			p.tryCommand(),
			p.versionCommand(),
		},
	}
	setUsageHandlers(root)
	return root
}

// setUsageHandlers makes c and its subcommands report wrong usage as
// ErrBadInput.
func setUsageHandlers(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return badInput("%s: %v", c.FullName(), err)
	}
	if c.Action == nil {
		c.Action = requireSubcommand
	}
	for _, sub := range c.Commands {
		setUsageHandlers(sub)
	}
}

// requireSubcommand is the action of a command group: it reports an unknown or
// missing subcommand.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return badInput("%s: unknown command %q", c.FullName(), c.Args().First())
	}
	if err := cli.ShowSubcommandHelp(c); err != nil {
		return err
	}
	return badInput("%s: no command given", c.FullName())
}

func badInput(format string, args ...any) error {
	return eris.Wrapf(ErrBadInput, format, args...)
}

// requireArguments returns the command's arguments, or ErrBadInput unless there
// is one for each name.
func requireArguments(c *cli.Command, names ...string) ([]string, error) {
	args := c.Args().Slice()
	if len(args) == len(names) {
		return args, nil
	}
	if len(names) == 0 {
		return nil, badInput("%s takes no arguments", c.FullName())
	}
	return nil, badInput("%s takes %s, not %d arguments", c.FullName(), strings.Join(names, " "), len(args))
}

// formatFlag returns the flag that selects text or JSON output.
func formatFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "format", Value: string(FormatText), Usage: "text or json",
		Validator: func(s string) error {
			if Format(s) != FormatText && Format(s) != FormatJSON {
				return fmt.Errorf("format %q is neither text nor json", s)
			}
			return nil
		},
	}
}

func selectedFormat(c *cli.Command) Format {
	return Format(c.String("format"))
}
