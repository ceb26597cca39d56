package vet

import (
	"fmt"
	"time"

	"github.com/currantturn/currantturn"
)

// Draft is a configuration as written, including what has no effect.
type Draft struct {
	Version     currantturn.Version
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration
}

// Route is a route with its name, and with shares of any weight.
type Route struct {
	Name string
	currantturn.FlowRoute
}

// Service is an entry in the list of services.
type Service struct {
	Name   currantturn.ServiceName
	WarmUp currantturn.WarmUp
}

// label names the route in findings.
func (r *Route) label() string {
	if r.Name == "" {
		return fmt.Sprintf("route to %s", r.Address)
	}
	return fmt.Sprintf("route %s to %s", r.Name, r.Address)
}

// leadsTo reports whether new flows of the route may go to the service.
func (r *Route) leadsTo(name currantturn.ServiceName) bool {
	for _, s := range r.Shares {
		if s.Service == name && s.Weight > 0 {
			return true
		}
	}
	return false
}
