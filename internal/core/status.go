package core

import (
	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/admin"
	"github.com/currantturn/currantturn/internal/coordination/gossip"
	"github.com/currantturn/currantturn/internal/coordination/membership"
	"github.com/currantturn/currantturn/internal/metric"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/internal/transport/entry"
	"github.com/currantturn/currantturn/internal/transport/flowconn"
	"github.com/currantturn/currantturn/pkg/patch"
)

// maxMembers is the maximum number of members counted in a status.
const maxMembers = 20_000

// Log returns the log of accepted configurations.
func (f *feed) Log() *configuration.Log {
	if f == nil {
		return configuration.NewLog(&patch.Configuration{})
	}
	return f.machine.Log()
}

// status returns the part of a status that comes from the feed.
func (f *feed) status() admin.Status {
	if f == nil {
		return admin.Status{}
	}
	c := f.machine.Counters()
	current := f.machine.Log().Current()
	return admin.Status{
		Serving: c.Ready,
		Configuration: admin.ConfigurationStatus{
			Version:         current.Version,
			Position:        c.Position,
			HighestPosition: c.HighestPosition,
			Digest:          current.Digest.String(),
		},
	}
}

// counters returns the counters of the gossip machine, all zero without a feed.
func (f *feed) counters() gossip.Counters {
	if f == nil {
		return gossip.Counters{}
	}
	return f.machine.Counters()
}

// Log returns the log of accepted configurations.
func (a *Agent) Log() *configuration.Log {
	return a.feed.Log()
}

// Log returns the log of accepted configurations.
func (b *Balancer) Log() *configuration.Log {
	return b.feed.Log()
}

// MarkStopping makes the status show a planned stop.
func (a *Agent) MarkStopping() {
	a.stopping.Store(true)
}

// MarkStopping makes the status show a planned stop.
func (b *Balancer) MarkStopping() {
	b.stopping.Store(true)
}

// Status returns the agent's status.
func (a *Agent) Status() admin.Status {
	s := a.feed.status()
	load := a.gate.Load(a.opts.Clock())
	s.Stopping = a.stopping.Load()
	s.Serving = s.Serving && !s.Stopping
	s.Flows = a.machine.Counters().Flows
	s.Members = make(map[string]int)
	for _, m := range a.Members(maxMembers) {
		s.Members[m.State]++
	}
	s.Requests = &admin.Requests{
		Slots:   load.Slots,
		Running: load.Running,
		Queued:  load.Queued,
		Records: a.claims.Counters().Records,
	}
	return s
}

// Status returns the balancer's status.
func (b *Balancer) Status() admin.Status {
	s := b.feed.status()
	s.Stopping = b.stopping.Load()
	s.Serving = s.Serving && !s.Stopping
	s.Flows = b.machine.Counters().Hints
	return s
}

// Members returns up to limit agents of the service, with their states as seen
// by this agent.
func (a *Agent) Members(limit int) []admin.Member {
	var out []admin.Member
	a.machine.Members().WithMembers(func(members []*membership.Member) {
		for _, m := range members {
			if len(out) == limit {
				return
			}
			out = append(out, admin.Member{
				Name:          string(m.Server.ID),
				Role:          currantturn.RoleAgent,
				FailureDomain: m.Server.FailureDomain,
				Link:          m.Server.Agent,
				State:         memberState(m),
				Since:         m.StartedAt,
			})
		}
	})
	return out
}

// memberState returns the state that the status shows for a member.
func memberState(m *membership.Member) string {
	if m.Leaving && m.State == membership.Alive {
		return "leaving"
	}
	return string(m.State)
}

// Members returns up to limit processes of the platform's list.
func (b *Balancer) Members(limit int) []admin.Member {
	if b.feed == nil {
		return nil
	}
	var out []admin.Member
	for _, vm := range b.feed.machine.VMs() {
		if len(out) == limit {
			break
		}
		out = append(out, admin.Member{
			Name:          string(vm.Name),
			Role:          vm.Role,
			FailureDomain: vm.FailureDomain,
			Link:          vm.Link,
			State:         string(vm.State),
		})
	}
	return out
}

// Flows returns the number of flows held here.
func (a *Agent) Flows(int) []admin.BackendFlows {
	return []admin.BackendFlows{{Service: a.opts.Service, Backend: a.opts.ID, Flows: a.machine.Counters().Flows}}
}

// Flows returns nothing, because a balancer holds no flows.
func (b *Balancer) Flows(int) []admin.BackendFlows {
	return nil
}

// Publish registers the agent's counters.
func (a *Agent) Publish(r *metric.Registry) {
	r.Publish("link", func() any { return a.node.link.Counters() })
	r.Publish("agent", func() any { return a.machine.Counters() })
	r.Publish("claim", func() any { return a.claims.Counters() })
	r.Publish("admission", func() any { return a.gate.Counters() })
	r.Publish("limit", func() any { return a.limiter.Counters() })
	r.Publish("request", func() any { return a.handler.Counters() })
	r.Publish("gossip", func() any { return a.feed.counters() })
	r.Publish("flowconn", func() any { return a.callerPacketCounters() })
}

// callerPacketCounters returns the packet counters of all service addresses,
// summed.
func (a *Agent) callerPacketCounters() flowconn.Counters {
	var sum flowconn.Counters
	for _, s := range a.allCallerServers() {
		c := s.conn.Counters()
		sum.Delivered += c.Delivered
		sum.Dropped += c.Dropped
		sum.Answered += c.Answered
	}
	return sum
}

// Publish registers the balancer's counters.
func (b *Balancer) Publish(r *metric.Registry) {
	r.Publish("link", func() any { return b.node.link.Counters() })
	r.Publish("balancer", func() any { return b.machine.Counters() })
	r.Publish("gossip", func() any { return b.feed.counters() })
	if e, ok := b.entry.(interface{ Counters() entry.Counters }); ok {
		r.Publish("entry", func() any { return e.Counters() })
	}
}
