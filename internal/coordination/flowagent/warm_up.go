package flowagent

import (
	"math"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

// learnWarmUp stores the warm-up that a balancer sends, with an opening packet or alone.
func (a *Agent) learnWarmUp(now time.Time, from netip.AddrPort, position currantturn.Position, w currantturn.Warming) {
	if w.WarmUp.Rate <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmUp.Learn(now, position, w)
	if receiver := a.balancers[from]; receiver != nil {
		receiver.readsLoads = true
	}
}

// takeOpening reports whether the backend server may get an opening packet now. Copies
// count as well, since the backend server may not have received the first one.
func (a *Agent) takeOpening(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.warmUp.Take(now) {
		return true
	}
	a.counts.limited.Add(1)
	return false
}

// recordForgotten records that the backend server no longer holds an open flow.
func (a *Agent) recordForgotten(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmUp.RecordForgotten(now)
}

// reportWarmUp emits an event when the backend server becomes cold or warm.
func (a *Agent) reportWarmUp(now time.Time, out *currantturn.Effects) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cold := a.warmUp.Cold(now)
	if cold == a.cold {
		return
	}
	a.cold = cold
	if cold {
		out.Event(event.BackendCold, event.F("backend", a.opts.Backend), event.F("rate", a.warmUp.Rate()), event.F("limit", a.warmUp.Limit()))
		return
	}
	out.Event(event.BackendWarm, event.F("backend", a.opts.Backend), event.F("limited", a.counts.limited.Load()))
}

// SetWarmUpLimit sets how the limit follows from the rate when settings change.
func (a *Agent) SetWarmUpLimit(overshoot, tolerance float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.warmUp.Configure(overshoot, tolerance)
}

// declinesMS returns for how many milliseconds new flows are declined because the backend
// server is cold, rounded up.
func (a *Agent) declinesMS(now time.Time) uint16 {
	wait := a.warmUp.Wait(now) + time.Millisecond - 1
	return uint16(min(wait.Milliseconds(), math.MaxUint16))
}
