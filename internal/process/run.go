package process

import (
	"context"
	"errors"

	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/command"
)

// run serves the administration API until p.Stop is closed or the context ends. On
// p.Stop it calls shutdown for a graceful stop, which becomes an immediate one when
// the context passed to it ends; otherwise it closes the role.
func (c *components) run(ctx context.Context, p *command.Process, r role, shutdown func(context.Context) error) error {
	api, err := c.serveAdmin(r)
	if err != nil {
		return errors.Join(err, r.Close())
	}
	reloadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.reloadCredentials(reloadCtx)
	select {
	case <-p.Stop:
		r.MarkStopping()
		err = shutdown(ctx)
	case <-ctx.Done():
		err = r.Close()
	}
	return errors.Join(err, stopAdmin(api))
}

// serveAdmin starts the administration API. It returns nil if the settings disable
// it.
func (c *components) serveAdmin(r role) (*admin.Server, error) {
	o := c.options.Admin
	if !o.Address.IsValid() {
		return nil, nil
	}
	opts := admin.Options{
		Address:   o.Address,
		Insecure:  o.Insecure,
		Providers: c.providers(r),
		Report:    c.report,
	}
	if !o.Insecure {
		cfg, err := admin.Credentials{
			CAFile: o.CAFile, CertificateFile: o.CertificateFile, KeyFile: o.KeyFile,
		}.ServerTLS()
		if err != nil {
			return nil, err
		}
		opts.TLS = cfg
	}
	api, err := admin.Listen(opts)
	if err != nil {
		return nil, err
	}
	go func() { _ = api.Serve() }() // reports its failures as events
	return api, nil
}

func stopAdmin(api *admin.Server) error {
	if api == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	return api.Shutdown(ctx)
}
