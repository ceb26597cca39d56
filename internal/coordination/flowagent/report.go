package flowagent

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/relay"
)

// listener is a balancer that hears of the load.
type listener struct {
	heard time.Time // its last packet
	told  time.Time
	load  relay.Load // as told last
}

func (a *Agent) hear(now time.Time, from netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.balancers[from]
	if l == nil {
		if len(a.balancers) >= maxBalancers {
			return
		}
		l = &listener{}
		a.balancers[from] = l
	}
	l.heard = now
}

// load is the present load with the state of the backend server.
func (a *Agent) load(now time.Time) relay.Load {
	load := a.work.load(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	load.Silent = !a.silent.IsZero()
	load.Waiting = a.backlog.Len()
	return load
}

// report tells the balancers of late the load, soon when it has changed. When
// they are many, each waits for its turn.
func (a *Agent) report(now time.Time, out *currantturn.Effects) {
	load := a.load(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	var due []netip.AddrPort
	for at, l := range a.balancers {
		if now.Sub(l.heard) > heardWithin {
			delete(a.balancers, at)
			continue
		}
		age := now.Sub(l.told)
		if age < reportEvery || l.load == load && age < refreshEvery {
			continue
		}
		due = append(due, at)
	}
	slices.SortFunc(due, func(x, y netip.AddrPort) int {
		return cmp.Or(a.balancers[x].told.Compare(a.balancers[y].told), x.Compare(y))
	})
	for _, at := range due {
		if !a.reports.AllowN(now, 1) {
			return
		}
		l := a.balancers[at]
		l.told, l.load = now, load
		out.Send(at, relay.Report{Load: load})
	}
}
