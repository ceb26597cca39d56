package command

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/netip"

	"github.com/currantturn/currantturn/internal/admin"
	"github.com/urfave/cli/v3"
)

func (p *Program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of a running process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "admin", Usage: "`ADDRESS` of the administration API, IP:port", Required: true},
			&cli.StringFlag{Name: "ca", Usage: "PEM `FILE` of the certificate authority of the API", TakesFile: true},
			&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` of the operator's certificate", TakesFile: true},
			&cli.StringFlag{Name: "key", Usage: "PEM `FILE` of the operator's private key", TakesFile: true},
			&cli.BoolFlag{Name: "insecure", Usage: "connect without TLS, to a process with [admin] insecure = true"},
			&cli.StringFlag{
				Name: "show", Value: showSummary, Usage: "summary, members, flows, verdicts or audit",
				Validator: func(s string) error {
					if views[s] == nil {
						return fmt.Errorf("%q is not one of: summary, members, flows, verdicts, audit", s)
					}
					return nil
				},
			},
			formatFlag(),
		},
		Action: p.runStatus,
	}
}

func (p *Program) runStatus(ctx context.Context, c *cli.Command) error {
	if _, err := requireArguments(c); err != nil {
		return err
	}
	address, err := netip.ParseAddrPort(c.String("admin"))
	if err != nil {
		return badInput("--admin: %q is not an IP address and port", c.String("admin"))
	}
	cfg, err := clientTLS(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return views[c.String("show")](ctx, p, admin.NewClient(address, cfg), selectedFormat(c))
}

const showSummary = "summary"

// view reads one resource of the administration API and prints it.
type view func(ctx context.Context, p *Program, c *admin.Client, f Format) error

var views = map[string]view{
	showSummary: newView(admin.PathStatus, func(w io.Writer, s admin.Status) error { return s.WriteText(w) }),
	"members":   newView(admin.PathMembers, admin.WriteMembers),
	"flows":     newView(admin.PathFlows, admin.WriteFlows),
	"verdicts":  newView(admin.PathVerdicts, admin.WriteVerdicts),
	"audit":     newView(admin.PathAudit, admin.WriteAudit),
}

// newView returns a view of the resource at path; write prints it as text.
func newView[T any](path string, write func(io.Writer, T) error) view {
	return func(ctx context.Context, p *Program, c *admin.Client, f Format) error {
		v, err := admin.Read[T](ctx, c, path)
		if err != nil {
			return err
		}
		if f == FormatJSON {
			return p.printJSON(v)
		}
		return write(p.Out, v)
	}
}

// clientTLS returns the TLS configuration that the flags select; nil means plain
// HTTP.
func clientTLS(c *cli.Command) (*tls.Config, error) {
	if c.Bool("insecure") {
		return nil, nil
	}
	for _, name := range []string{"ca", "certificate", "key"} {
		if c.String(name) == "" {
			return nil, badInput("--%s is missing; the administration API requires mutual TLS", name)
		}
	}
	cfg, err := admin.Credentials{
		CAFile: c.String("ca"), CertificateFile: c.String("certificate"), KeyFile: c.String("key"),
	}.ClientTLS()
	if err != nil {
		return nil, badInput("%v", err)
	}
	return cfg, nil
}
