package soak

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// routers spread callers' packets over the balancers that are in rotation.
type routers struct {
	net *network

	mu     sync.Mutex
	missed []int // readiness checks in a row that each balancer missed
	cut    []int // faults that cut a balancer off
}

func newRouters(ctx context.Context, n *network) *routers {
	r := &routers{net: n, missed: make([]int, n.balancers), cut: make([]int, n.balancers)}
	for i := range n.balancers {
		r.missed[i] = readinessMiss
		go r.poll(ctx, i)
	}
	return r
}

// poll asks a balancer whether it serves until the context ends.
func (r *routers) poll(ctx context.Context, i int) {
	client := &http.Client{Timeout: readinessLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + r.net.at(balancerNet, i, readinessPort).String() + "/v1/readiness"
	t := time.NewTicker(readinessEvery)
	defer t.Stop()
	for {
		ready := false
		if w, err := client.Get(url); err == nil {
			ready = w.StatusCode == http.StatusOK
			_ = w.Body.Close() // empty
		}
		r.mu.Lock()
		if ready && r.cut[i] == 0 {
			r.missed[i] = 0
		} else {
			r.missed[i]++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ready counts the balancers in rotation.
func (r *routers) ready() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.missed {
		if m < readinessMiss {
			n++
		}
	}
	return n
}

// isolate changes how many faults cut a balancer off.
func (r *routers) isolate(i, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[i] += by
}

// pick returns the balancer for a flow's packets; lost is set if it is cut off.
func (r *routers) pick(id flowID) (balancer int, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best uint64
	balancer = -1
	for _, rotation := range []bool{true, false} {
		for i := range r.missed {
			if rotation && r.missed[i] >= readinessMiss {
				continue
			}
			if score := weight(id, i); balancer < 0 || score > best {
				balancer, best = i, score
			}
		}
		if balancer >= 0 {
			break
		}
	}
	return balancer, r.cut[balancer] > 0
}

func weight(id flowID, i int) uint64 {
	b := []byte{byte(i)}
	for _, a := range []netip.AddrPort{id.caller, id.service} {
		b = append(b, a.String()...)
	}
	return xxhash.Sum64(b)
}
