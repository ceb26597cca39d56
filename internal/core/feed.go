package core

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/gossip"
	"github.com/currantturn/currantturn/internal/transport/platform"
)

// FeedOptions configures where a process reads its configuration; without a
// Platform, there is no feed.
type FeedOptions struct {
	Platform  currantturn.Platform
	Peers     []netip.AddrPort // contacted while no configuration is known
	FleetSize int              // expected number of processes, until a configuration is known
	// OnInForce is called after each version has come into force; it may be nil.
	OnInForce func(now time.Time, v *currantturn.View)
}

// vmListUser is a machine that uses the platform's list of VMs.
type vmListUser interface {
	SetVMs(now time.Time, vms []currantturn.VM, out *currantturn.Effects)
}

// feed runs the gossip machine, which reads configurations from the platform and
// exchanges them with peers.
type feed struct {
	node    *node
	machine *gossip.Machine
	runner  *platform.Runner
	vmUser  vmListUser
}

// startFeed adds the gossip machine to the node; the platform's lists of VMs also
// go to vmUser.
func (n *node) startFeed(opts FeedOptions, domain currantturn.FailureDomain, seed uint64, vmUser vmListUser) *feed {
	f := &feed{node: n, vmUser: vmUser}
	f.machine = gossip.New(gossip.Options{
		Self:      n.link.Self(),
		Domain:    domain,
		Random:    rand.New(rand.NewPCG(seed, 3)),
		Seeds:     opts.Peers,
		FleetSize: opts.FleetSize,
	})
	f.runner = platform.NewRunner(opts.Platform, f.readCompleted)
	n.startRead = f.runner.Start
	n.onConfigured = opts.OnInForce
	n.orderedMachine = f.machine
	n.addMachine(f.machine, gossip.Kinds()...)
	return f
}

// readCompleted passes the result of a read to the machines that use it.
func (f *feed) readCompleted(r *currantturn.ReadResult) {
	f.node.decideFor(f.machine, func(now time.Time, out *currantturn.Effects) { f.machine.ReadCompleted(now, r, out) })
	if r.Read.Kind != currantturn.ReadVMs || r.Err != nil {
		return
	}
	f.node.decide(func(now time.Time, out *currantturn.Effects) { f.vmUser.SetVMs(now, r.VMs, out) })
}

// close cancels the reads in progress.
func (f *feed) close() {
	if f != nil {
		f.runner.Close()
	}
}
