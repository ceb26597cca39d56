package harness

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Routers are a stand-in for the platform's routers. They ask each balancer twice a second
// whether it is ready, take it out of rotation after two misses, and hash flows over the
// balancers of the client's zone that are in rotation.
type Routers struct {
	record *Record

	mu     sync.Mutex
	fronts []*front
}

type front struct {
	name, zone  string
	in          netip.AddrPort // where packets are sent
	readyAt     netip.AddrPort
	misses      int
	wasRotation bool
}

func (r *Routers) add(ctx context.Context, f *front) {
	f.misses = 2
	r.fronts = append(r.fronts, f)
	go r.poll(ctx, f)
}

func (r *Routers) poll(ctx context.Context, f *front) {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		ready := false
		if resp, err := client.Get("http://" + f.readyAt.String() + "/v1/readiness"); err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close() // it is empty
		}
		r.mu.Lock()
		if f.misses++; ready {
			f.misses = 0
		}
		if rotation := f.misses < 2; rotation != f.wasRotation {
			f.wasRotation = rotation
			r.record.Printf("routers: %s in rotation: %t", f.name, rotation)
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// InRotation reports whether the routers send packets to a balancer.
func (r *Routers) InRotation(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.fronts {
		if f.name == name {
			return f.misses < 2
		}
	}
	return false
}

// Pick returns the balancer that a flow's packet is sent to. If fewer than half of a zone's
// balancers are in rotation, all of them are used; if none is, those of the other zones.
func (r *Routers) Pick(id FlowID, zone string) (to netip.AddrPort, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in, others []*front
	for _, f := range r.fronts {
		switch {
		case f.zone == zone && f.misses < 2:
			in = append(in, f)
			all = append(all, f)
		case f.zone == zone:
			all = append(all, f)
		case f.misses < 2:
			others = append(others, f)
		}
	}
	if len(in) == 0 && len(others) > 0 {
		in = others
	} else if 2*len(in) < len(all) {
		in = all
	}
	var best uint64
	var chosen *front
	for _, f := range in {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id.String() + f.name)) // never fails
		if s := h.Sum64() * 0x9e3779b97f4a7c15; chosen == nil || s > best {
			best, chosen = s, f
		}
	}
	return chosen.in, chosen.name
}
