package core

import (
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/claim"
	"github.com/currantturn/currantturn/internal/coordination/membership"
)

const (
	// deadOwnerInterval is how often dead owners are marked while the membership
	// does not change.
	deadOwnerInterval = 250 * time.Millisecond
	// deadOwnerSuspicion is how long the claims send nothing new to a marked owner.
	deadOwnerSuspicion = 2 * deadOwnerInterval
)

// deadOwnerMarker is the machine that marks dead owners in the claims, so that a
// caller with a new key is refused at once and not after a timeout.
type deadOwnerMarker struct {
	members     *membership.List
	claims      *claim.Claims
	lastMarked  time.Time
	markedEpoch uint64
}

// Tick marks the dead owners after each membership change and at intervals.
func (d *deadOwnerMarker) Tick(now time.Time, _ *currantturn.Effects) {
	epoch := d.members.Epoch()
	if epoch == d.markedEpoch && now.Sub(d.lastMarked) < deadOwnerInterval {
		return
	}
	d.markedEpoch, d.lastMarked = epoch, now
	d.members.WithMembers(func(members []*membership.Member) {
		for _, m := range members {
			if m.State == membership.Dead {
				d.claims.Suspect(m.Server.Agent, now.Add(deadOwnerSuspicion))
			}
		}
	})
}

// Handle does nothing: no control message is for this machine.
func (*deadOwnerMarker) Handle(time.Time, netip.AddrPort, currantturn.Message, *currantturn.Effects) {
}

// Configure does nothing.
func (*deadOwnerMarker) Configure(time.Time, *currantturn.View, *currantturn.Effects) {}
