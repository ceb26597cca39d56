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

// components are what both roles need.
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
	x := &components{options: o, log: p.Log, metrics: metric.NewRegistry(), started: time.Now()}
	var err error
	if x.seed, err = randomSeed(); err != nil {
		return nil, err
	}
	if x.secrets, err = readSecrets(o.Trust.HashKeyFile); err != nil {
		return nil, err
	}
	ring, err := readKeyRing(o.Trust.DatagramKeyFile)
	if err != nil {
		return nil, err
	}
	if x.sealer, err = seal.New(ring, time.Now, rand.Reader); err != nil {
		return nil, err
	}
	files := identity.Files{Authorities: o.Trust.CAFile, Certificate: o.Trust.CertificateFile, Key: o.Trust.KeyFile}
	if x.identity, err = identity.Open(files, time.Now, x.report); err != nil {
		return nil, err
	}
	x.platform = platform.New(platform.Options{
		URLs:           o.Platform.URLs,
		Timeout:        o.Platform.ReadTimeout,
		ReadsPerSecond: o.Platform.ReadBudgetPerSecond,
	})
	x.auditor = &auditor{trail: audit.NewTrail(p.AuditOut, o.Process.Name, audit.DefaultCapacity)}
	x.metrics.Publish("seal", func() any { return x.sealer.Counters() })
	x.metrics.Publish("identity", func() any { return x.identity.Counters() })
	x.metrics.Publish("platform", func() any { return x.platform.Counters() })
	x.metrics.Expose()
	return x, nil
}

// randomSeed differs between processes, so that they do not choose alike.
func randomSeed() (uint64, error) {
	var b [8]byte
	_, err := rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]), err
}

func (x *components) report(e currantturn.Event) {
	now := time.Now()
	x.log.Log(now, e)
	x.auditor.handleEvent(now, e)
}

func (x *components) feedOptions() core.FeedOptions {
	return core.FeedOptions{
		Platform:  x.platform,
		Peers:     x.options.Platform.Peers,
		FleetSize: x.options.Platform.FleetSize,
		InForce:   x.auditor.handleInForce,
	}
}

// reloadCredentials takes changed keys and certificates into use until the context ends.
func (x *components) reloadCredentials(ctx context.Context) {
	t := time.NewTicker(x.options.Trust.ReloadEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		_ = x.identity.Reload() // reports its own failures
		if err := x.reloadDatagramKeys(); err != nil {
			x.report(currantturn.Event{Number: event.CredentialsReloadFailed, Fields: []currantturn.Field{
				event.F("file", x.options.Trust.DatagramKeyFile), event.F("error", err.Error()),
			}})
		}
	}
}

func (x *components) reloadDatagramKeys() error {
	ring, err := readKeyRing(x.options.Trust.DatagramKeyFile)
	if err != nil {
		return err
	}
	return x.sealer.Rotate(ring)
}
