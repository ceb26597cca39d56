package limit

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// Guard is a router before which opening packets of callers are limited, so
// that no caller fills the flow table behind it.
type Guard struct {
	currantturn.Router
	limiter *Limiter
}

// NewGuard returns a guard of an agent's router.
func NewGuard(r currantturn.Router, l *Limiter) *Guard {
	return &Guard{Router: r, limiter: l}
}

// Route drops an opening packet of a caller above its limit, where it arrives
// from a balancer; packets that another agent sends on were counted there.
func (g *Guard) Route(now time.Time, from netip.AddrPort, e *currantturn.Envelope, out *currantturn.Effects) {
	if e.Hops == 0 && e.Direction == currantturn.ToBackend && e.Packet.Mark == currantturn.MarkOpening {
		caller := e.Packet.Flow.Caller.Addr()
		if g.limiter.Opening(now, caller) != Allowed {
			out.Event(event.CallerLimitReached, event.F("caller", caller), event.F("service", e.Service),
				event.F("limit", g.limiter.limits.Load().Openings))
			return
		}
	}
	g.Router.Route(now, from, e, out)
}
