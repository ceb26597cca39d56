package soak

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// routers distribute callers' packets over the balancers that are in rotation, by
// rendezvous hashing.
type routers struct {
	net *network

	mu           sync.Mutex
	failedChecks []int // consecutive failed readiness checks, by balancer
	isolations   []int // active faults that isolate a balancer, by balancer
}

func newRouters(ctx context.Context, n *network) *routers {
	r := &routers{net: n, failedChecks: make([]int, n.balancers), isolations: make([]int, n.balancers)}
	for i := range n.balancers {
		r.failedChecks[i] = maxReadinessFailures
		go r.poll(ctx, i)
	}
	return r
}

// poll checks the readiness of a balancer at intervals until the context ends.
func (r *routers) poll(ctx context.Context, i int) {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	url := "http://" + r.net.address(balancerNet, i, readinessPort).String() + "/v1/readiness"
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		ready := false
		if resp, err := client.Get(url); err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close() // the body is empty
		}
		r.mu.Lock()
		if ready && r.isolations[i] == 0 {
			r.failedChecks[i] = 0
		} else {
			r.failedChecks[i]++
		}
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readyCount returns the number of balancers in rotation.
func (r *routers) readyCount() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.failedChecks {
		if m < maxReadinessFailures {
			n++
		}
	}
	return n
}

// isolate changes the number of faults that isolate a balancer.
func (r *routers) isolate(i, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isolations[i] += by
}

// pick returns the balancer for a flow's packets. If no balancer is in rotation, all
// are candidates. lost reports that the balancer is isolated.
func (r *routers) pick(id flowID) (balancer int, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best uint64
	balancer = -1
	for _, inRotationOnly := range []bool{true, false} {
		for i := range r.failedChecks {
			if inRotationOnly && r.failedChecks[i] >= maxReadinessFailures {
				continue
			}
			if score := rendezvousScore(id, i); balancer < 0 || score > best {
				balancer, best = i, score
			}
		}
		if balancer >= 0 {
			break
		}
	}
	return balancer, r.isolations[balancer] > 0
}

// rendezvousScore returns the score of balancer i for a flow; the highest score wins.
func rendezvousScore(id flowID, i int) uint64 {
	b := []byte{byte(i)}
	for _, a := range []netip.AddrPort{id.caller, id.service} {
		b = append(b, a.String()...)
	}
	return xxhash.Sum64(b)
}
