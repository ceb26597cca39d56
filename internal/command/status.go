package command

import (
	"context"
	"crypto/tls"
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
	s, err := admin.NewClient(address, cfg).Status(ctx)
	if err != nil {
		return err
	}
	if formatOf(c) == FormatJSON {
		return p.printJSON(s)
	}
	return s.WriteText(p.Out)
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
