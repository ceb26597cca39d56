package core

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/coordination/gossip"
	"github.com/currantturn/currantturn/internal/transport/platform"
)

// FeedOptions say where a process gets its configuration from.
type FeedOptions struct {
	Platform  currantturn.Platform
	Peers     []netip.AddrPort // asked before any configuration is known
	FleetSize int              // expected processes, until a configuration tells
	// InForce is told of every version that came in force; nil for none.
	InForce func(now time.Time, v *currantturn.View)
}

// listener is a machine that uses the platform's list of VMs.
type listener interface {
	SetVMs(now time.Time, vms []currantturn.VM, out *currantturn.Effects)
}

// feed lets the dissemination machine read from the platform.
type feed struct {
	node    *node
	machine *gossip.Machine
	runner  *platform.Runner
	router  listener
}

func (n *node) follow(opts FeedOptions, domain currantturn.FailureDomain, seed uint64, router listener) *feed {
	f := &feed{node: n, router: router}
	f.machine = gossip.New(gossip.Options{
		Self:      n.link.Self(),
		Domain:    domain,
		Random:    rand.New(rand.NewPCG(seed, 3)),
		Seeds:     opts.Peers,
		FleetSize: opts.FleetSize,
	})
	f.runner = platform.NewRunner(opts.Platform, f.completed)
	n.read = f.runner.Do
	n.inForce = opts.InForce
	n.ordered = f.machine
	n.add(f.machine, gossip.Kinds()...)
	return f
}

// completed hands the result of a read to the machines that use it.
func (f *feed) completed(r *currantturn.ReadResult) {
	f.node.decideOf(f.machine, func(now time.Time, out *currantturn.Effects) { f.machine.Completed(now, r, out) })
	if r.Read.Kind != currantturn.ReadVMs || r.Err != nil {
		return
	}
	f.node.decide(func(now time.Time, out *currantturn.Effects) { f.router.SetVMs(now, r.VMs, out) })
}

// close ends waiting reads.
func (f *feed) close() {
	if f != nil {
		f.runner.Close()
	}
}
