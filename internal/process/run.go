package process

import (
	"context"
	"errors"

	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/command"
)

// run serves the administration API and waits; shutdown gets a context that
// ends when the planned stop has to become an immediate one.
func (x *components) run(ctx context.Context, p *command.Process, r role, shutdown func(context.Context) error) error {
	api, err := x.serveAdmin(r)
	if err != nil {
		return errors.Join(err, r.Close())
	}
	reloadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go x.reloadCredentials(reloadCtx)
	select {
	case <-p.Stop:
		r.Stopping()
		err = shutdown(ctx)
	case <-ctx.Done():
		err = r.Close()
	}
	return errors.Join(err, stopAdmin(api))
}

// serveAdmin returns nil when the settings turn the API off.
func (x *components) serveAdmin(s role) (*admin.Server, error) {
	o := x.options.Admin
	if !o.Address.IsValid() {
		return nil, nil
	}
	opts := admin.Options{
		Address:   o.Address,
		Insecure:  o.Insecure,
		Providers: x.providers(s),
		Report:    x.report,
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
	go func() { _ = api.Serve() }() // reports its own failures
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
