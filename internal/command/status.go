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
			&cli.StringFlag{Name: "ca", Usage: "`FILE` of the authority of the API's certificate, PEM", TakesFile: true},
			&cli.StringFlag{Name: "certificate", Usage: "`FILE` of the operator's certificate, PEM", TakesFile: true},
			&cli.StringFlag{Name: "key", Usage: "`FILE` of the operator's private key, PEM", TakesFile: true},
			&cli.BoolFlag{Name: "insecure", Usage: "read without TLS; for processes with [admin] insecure = true"},
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
		Action: p.status,
	}
}

func (p *Program) status(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
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
	return views[c.String("show")](ctx, p, admin.NewClient(address, cfg), formatOf(c))
}

const showSummary = "summary"

// view reads one resource and prints it.
type view func(ctx context.Context, p *Program, c *admin.Client, f Format) error

var views = map[string]view{
	showSummary: viewOf(admin.PathStatus, func(w io.Writer, s admin.Status) error { return s.WriteText(w) }),
	"members":   viewOf(admin.PathMembers, admin.WriteMembers),
	"flows":     viewOf(admin.PathFlows, admin.WriteFlows),
	"verdicts":  viewOf(admin.PathVerdicts, admin.WriteVerdicts),
	"audit":     viewOf(admin.PathAudit, admin.WriteAudit),
}

func viewOf[T any](path string, write func(io.Writer, T) error) view {
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

func clientTLS(c *cli.Command) (*tls.Config, error) {
	if c.Bool("insecure") {
		return nil, nil
	}
	for _, name := range []string{"ca", "certificate", "key"} {
		if c.String(name) == "" {
			return nil, badInput("--%s is missing; the administration API takes mutual TLS", name)
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
