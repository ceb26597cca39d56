package core

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/coordination/membership"
)

const (
	// absentEvery is how often the claims are told which owners are dead.
	absentEvery = 250 * time.Millisecond
	// absentFor is how long such an owner is asked nothing new.
	absentFor = 2 * absentEvery
)

// absent is the machine that keeps the claims from asking dead owners, so that
// a caller with a new key is refused at once and not after a timeout.
type absent struct {
	members *membership.List
	claims  *claim.Claims
	told    time.Time
	epoch   uint64
}

// Tick tells the claims who is dead.
func (a *absent) Tick(now time.Time, _ *currantturn.Effects) {
	epoch := a.members.Epoch()
	if epoch == a.epoch && now.Sub(a.told) < absentEvery {
		return
	}
	a.epoch, a.told = epoch, now
	a.members.With(func(all []*membership.Member) {
		for _, m := range all {
			if m.State == membership.Dead {
				a.claims.Suspect(m.Server.Agent, now.Add(absentFor))
			}
		}
	})
}

// Handle takes no control messages.
func (*absent) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {}

// Configure has nothing to do.
func (*absent) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}
