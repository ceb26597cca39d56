package try

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/core"
	fakeplatform "github.com/currantturn/currantturn/internal/fake/platform"
	"github.com/currantturn/currantturn/internal/transport/platform"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/rotisserie/eris"
)

// published is the platform of a run, and how long each version took to be in
// force everywhere.
type published struct {
	service *fakeplatform.Service
	server  *http.Server
	url     *url.URL
	mu      sync.Mutex
	at      map[currantturn.Version]time.Time
	reached map[currantturn.Version]int // processes that have it in force
	delay   time.Duration               // longest seen of a process that ran at the time
}

func startPublished() (*published, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &published{
		service: fakeplatform.New(time.Now),
		url:     &url.URL{Scheme: "http", Host: ln.Addr().String()},
		at:      make(map[currantturn.Version]time.Time),
		reached: make(map[currantturn.Version]int),
	}
	p.server = &http.Server{Handler: p.service, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

// publish appends one patch, as an operator would, and fails if it is rejected.
func (p *published) publish(ops ...patch.Operation) error {
	version := p.service.Configuration().Version
	b, err := patch.Encode(&patch.Patch{BuildsOn: version, Comment: "planned change", Operations: ops})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.at[version+1] = time.Now()
	p.mu.Unlock()
	verdict, err := p.service.Publish("try", b)
	if err != nil {
		return err
	}
	return eris.Wrap(verdict.Err(), "planned change")
}

// feed lets one process read the platform and notes what comes in force there.
func (p *published) feed() core.FeedOptions {
	started := time.Now()
	return core.FeedOptions{
		Platform: platform.New(platform.Options{URLs: []*url.URL{p.url}, Timeout: time.Second}),
		InForce:  func(now time.Time, v *currantturn.View) { p.note(started, now, v.Version) },
	}
}

func (p *published) note(started, now time.Time, v currantturn.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached[v]++
	if at, ok := p.at[v]; ok && at.After(started) {
		p.delay = max(p.delay, now.Sub(at))
	}
}

// slowest is the longest time that a version took to a running process.
func (p *published) slowest() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

// settle waits until the first version is in force at so many processes.
func (p *published) settle(ctx context.Context, processes int) error {
	ctx, cancel := context.WithTimeout(ctx, settleBound)
	defer cancel()
	for {
		p.mu.Lock()
		reached := p.reached[1]
		p.mu.Unlock()
		if reached >= processes {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("the first version is in force at %d of %d processes after %s", reached, processes, settleBound)
		case <-time.After(currantturn.TickEvery):
		}
	}
}

func (p *published) close() {
	_ = p.server.Close()
}
