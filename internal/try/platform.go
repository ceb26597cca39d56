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

// platformServer serves a fake platform and measures how long each published
// version takes to be in force at the processes.
type platformServer struct {
	fake            *fakeplatform.Service
	server          *http.Server
	url             *url.URL
	mu              sync.Mutex
	publishedAt     map[currantturn.Version]time.Time
	inForceCount    map[currantturn.Version]int // processes at which it came in force
	maxInForceDelay time.Duration               // over processes started before the publication
}

// startPlatform serves a fake platform with an empty log on a loopback port.
func startPlatform() (*platformServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platformServer{
		fake:         fakeplatform.New(time.Now),
		url:          &url.URL{Scheme: "http", Host: ln.Addr().String()},
		publishedAt:  make(map[currantturn.Version]time.Time),
		inForceCount: make(map[currantturn.Version]int),
	}
	p.server = &http.Server{Handler: p.fake, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

// publish appends a patch to the log, as an operator would. It returns an error if
// the patch is rejected.
func (p *platformServer) publish(ops ...patch.Operation) error {
	version := p.fake.Configuration().Version
	b, err := patch.Encode(&patch.Patch{BuildsOn: version, Comment: "planned change", Operations: ops})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.publishedAt[version+1] = time.Now()
	p.mu.Unlock()
	verdict, err := p.fake.Publish("try", b)
	if err != nil {
		return err
	}
	return eris.Wrap(verdict.Err(), "planned change")
}

// feedOptions connects one process to the platform and records when each version
// comes in force there.
func (p *platformServer) feedOptions() core.FeedOptions {
	started := time.Now()
	return core.FeedOptions{
		Platform:  platform.New(platform.Options{URLs: []*url.URL{p.url}, Timeout: time.Second}),
		OnInForce: func(now time.Time, v *currantturn.View) { p.recordInForce(started, now, v.Version) },
	}
}

// recordInForce records that a version came in force at a process. Versions older
// than the process don't count towards the delay.
func (p *platformServer) recordInForce(started, now time.Time, v currantturn.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inForceCount[v]++
	if published, ok := p.publishedAt[v]; ok && published.After(started) {
		p.maxInForceDelay = max(p.maxInForceDelay, now.Sub(published))
	}
}

// longestInForceDelay returns the longest time from the publication of a version
// until it was in force at a running process.
func (p *platformServer) longestInForceDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxInForceDelay
}

// waitFirstInForce waits until the first version is in force at the given number of
// processes.
func (p *platformServer) waitFirstInForce(ctx context.Context, processes int) error {
	ctx, cancel := context.WithTimeout(ctx, firstInForceTimeout)
	defer cancel()
	for {
		p.mu.Lock()
		count := p.inForceCount[1]
		p.mu.Unlock()
		if count >= processes {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("the first version is in force at %d of %d processes after %s", count, processes, firstInForceTimeout)
		case <-time.After(currantturn.TickInterval):
		}
	}
}

func (p *platformServer) close() {
	_ = p.server.Close()
}
