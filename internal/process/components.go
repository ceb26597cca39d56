package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
	"github.com/currantturn/currantturn/internal/command"
	"github.com/currantturn/currantturn/internal/core"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/protocol/seal"
	"github.com/currantturn/currantturn/internal/settings"
	"github.com/currantturn/currantturn/internal/transport/identity"
	"github.com/currantturn/currantturn/internal/transport/platform"
)

// components are the parts that balancers and agents have in common.
type components struct {
	options  *settings.Options
	log      *event.Logger
	auditor  *auditor
	metrics  *metric.Registry
	sealer   *seal.Sealer
	secrets  core.Secrets
	identity *identity.Identity
	platform *platform.Client
	seed     uint64
	started  time.Time
}

func newComponents(p *command.Process) (*components, error) {
	o := p.Options
	c := &components{options: o, log: p.Log, metrics: metric.NewRegistry(), started: time.Now()}
	var err error
	if c.seed, err = randomSeed(); err != nil {
		return nil, err
	}
	if c.secrets, err = readSecrets(o.Trust.HashKeyFile); err != nil {
		return nil, err
	}
	ring, err := readKeyRing(o.Trust.DatagramKeyFile)
	if err != nil {
		return nil, err
	}
	if c.sealer, err = seal.New(ring, time.Now, rand.Reader); err != nil {
		return nil, err
	}
	files := identity.Files{Authorities: o.Trust.CAFile, Certificate: o.Trust.CertificateFile, Key: o.Trust.KeyFile}
	if c.identity, err = identity.Open(files, time.Now, c.report); err != nil {
		return nil, err
	}
	c.platform = platform.New(platform.Options{
		URLs:           o.Platform.URLs,
		Timeout:        o.Platform.ReadTimeout,
		ReadsPerSecond: o.Platform.ReadBudgetPerSecond,
	})
	c.auditor = &auditor{trail: audit.NewTrail(p.AuditOut, o.Process.Name, audit.DefaultCapacity)}
	c.metrics.Publish("seal", func() any { return c.sealer.Counters() })
	c.metrics.Publish("identity", func() any { return c.identity.Counters() })
	c.metrics.Publish("platform", func() any { return c.platform.Counters() })
	c.metrics.Expose()
	return c, nil
}

// randomSeed returns a random seed, so that processes make different random
// choices.
func randomSeed() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]), err
}

// report logs an event and passes it to the auditor.
func (c *components) report(e currantturn.Event) {
	now := time.Now()
	c.log.Log(now, e)
	c.auditor.handleEvent(now, e)
}

// feedOptions returns the options for receiving configurations.
func (c *components) feedOptions() core.FeedOptions {
	return core.FeedOptions{
		Platform:  c.platform,
		Peers:     c.options.Platform.Peers,
		FleetSize: c.options.Platform.FleetSize,
		OnInForce: c.auditor.handleInForce,
	}
}

// reloadCredentials reloads the certificates and the datagram keys from their files
// at intervals until the context ends.
func (c *components) reloadCredentials(ctx context.Context) {
	t := time.NewTicker(c.options.Trust.ReloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		_ = c.identity.Reload() // reports its failures as events
		if err := c.reloadDatagramKeys(); err != nil {
			c.report(currantturn.Event{Number: event.CredentialsReloadFailed, Fields: []currantturn.Field{
				event.F("file", c.options.Trust.DatagramKeyFile), event.F("error", err.Error()),
			}})
		}
	}
}

func (c *components) reloadDatagramKeys() error {
	ring, err := readKeyRing(c.options.Trust.DatagramKeyFile)
	if err != nil {
		return err
	}
	return c.sealer.Rotate(ring)
}
