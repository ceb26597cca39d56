package vet_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/vet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVet(t *testing.T) { suite.Run(t, "vet") }

// route returns a route without faults to a port of one address.
func route(port uint16, services ...currantturn.ServiceName) vet.Route {
	r := vet.Route{FlowRoute: currantturn.FlowRoute{
		Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), LatencyObjective: 200 * time.Millisecond, Timeout: time.Second,
	}}
	for _, s := range services {
		r.Shares = append(r.Shares, currantturn.Share{Service: s, Weight: 1})
	}
	return r
}

var _ = Describe("the check of a configuration", func() {
	texts := func(all []vet.Finding) (lines []string) {
		for _, f := range all {
			lines = append(lines, f.String())
		}
		return lines
	}

	It("finds nothing in one without faults", func() {
		d := &vet.Draft{
			Version: 1, Routes: []vet.Route{route(1, "verify"), route(2, "verify", "reports")}, IdleTimeout: 15 * time.Second,
			Services: []vet.Service{{Name: "verify"}, {Name: "reports", WarmUp: currantturn.WarmUp{Duration: time.Second, Rate: 3}}},
		}
		Expect(vet.Check(d, nil)).To(BeEmpty())
	})

	// Balancers index routes by address, so the last one is in force.
	It("reports each of several routes that a later one replaces", func() {
		d := &vet.Draft{Routes: []vet.Route{route(1, "a"), route(2, "a"), route(1, "b"), route(1, "c")}}
		all := vet.Check(d, nil)
		Expect(all).To(HaveLen(2))
		Expect(vet.HasErrors(all)).To(BeTrue())
		Expect(vet.Diff(&vet.Draft{Routes: []vet.Route{route(1, "c"), route(2, "a")}}, d)).To(BeEmpty())
	})

	It("does not look for backend servers without a list of them", func() {
		d := &vet.Draft{Routes: []vet.Route{route(1, "verify")}}
		Expect(vet.Check(d, nil)).To(BeEmpty())
		Expect(texts(vet.Check(d, []currantturn.Registration{}))).To(Equal([]string{"warning: service verify: no backend server is registered"}))
		Expect(vet.Check(d, []currantturn.Registration{{Service: "verify", State: currantturn.BackendActive}})).To(BeEmpty())
	})

	It("reports a configuration without routes", func() {
		Expect(texts(vet.Check(&vet.Draft{}, nil))).To(Equal([]string{"warning: configuration: has no routes: every flow is refused"}))
	})

	It("reports a version that balancers ignore", func() {
		Expect(vet.CheckVersion(&vet.Draft{Version: 7}, &vet.Draft{Version: 8})).To(BeEmpty())
		Expect(vet.HasErrors(vet.CheckVersion(&vet.Draft{Version: 7}, &vet.Draft{Version: 7}))).To(BeTrue())
	})

	It("finds no change in the order of routes and shares, nor in shares without an effect", func() {
		before := &vet.Draft{Routes: []vet.Route{route(1, "a", "b"), route(2, "c")}}
		after := &vet.Draft{Routes: []vet.Route{route(2, "c"), route(1, "b", "a")}}
		after.Routes[0].Shares = append(after.Routes[0].Shares, currantturn.Share{Service: "z"})
		after.Routes[0].Name = "renamed"
		Expect(vet.Diff(before, after)).To(BeEmpty())
	})
})
