package currantturn

import (
	"net/netip"
	"sort"
)

// BackendServer is one configured backend server with its agent's addresses.
type BackendServer struct {
	ID            BackendID      `cbor:"id" json:"id"`
	FailureDomain FailureDomain  `cbor:"failure_domain" json:"failure_domain"`
	Agent         netip.AddrPort `cbor:"agent" json:"agent"`   // link address
	Stream        netip.AddrPort `cbor:"stream" json:"stream"` // for requests forwarded by other agents
	Slots         int            `cbor:"slots" json:"slots"`
	Weight        int            `cbor:"weight" json:"weight"`
	State         BackendState   `cbor:"state" json:"state"`
}

// Limits holds the limits of one service.
type Limits struct {
	FlowsPerCaller   int `cbor:"flows_per_caller" json:"flows_per_caller"`
	FlowsPerBackend  int `cbor:"flows_per_backend" json:"flows_per_backend"`
	QueuePerBackend  int `cbor:"queue_per_backend" json:"queue_per_backend"`
	RequestBodyBytes int `cbor:"request_body_bytes" json:"request_body_bytes"`
}

// Service is a service with its addresses and its backend servers, sorted by ID.
type Service struct {
	Name      ServiceName      `cbor:"name" json:"name"`
	Addresses []netip.AddrPort `cbor:"addresses" json:"addresses"`
	Backends  []BackendServer  `cbor:"backends" json:"backends"`
	Limits    Limits           `cbor:"limits" json:"limits"`
}

// Backend returns the backend server with the given ID, or nil.
func (s *Service) Backend(id BackendID) *BackendServer {
	i := sort.Search(len(s.Backends), func(i int) bool { return s.Backends[i].ID >= id })
	if i < len(s.Backends) && s.Backends[i].ID == id {
		return &s.Backends[i]
	}
	return nil
}

// View is one accepted configuration, indexed for look-ups; it is immutable.
type View struct {
	Version  Version
	Services []Service // sorted by name

	byName    map[ServiceName]*Service
	byAddress map[netip.AddrPort]*Service
}

// NewView returns a view of services, which it sorts; the caller must not change
// them afterwards.
func NewView(version Version, services []Service) *View {
	v := &View{
		Version:   version,
		Services:  services,
		byName:    make(map[ServiceName]*Service, len(services)),
		byAddress: make(map[netip.AddrPort]*Service, len(services)),
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	for i := range services {
		v.addService(&services[i])
	}
	return v
}

// addService sorts the backend servers of a service and adds it to the maps.
func (v *View) addService(s *Service) {
	sort.Slice(s.Backends, func(i, j int) bool { return s.Backends[i].ID < s.Backends[j].ID })
	v.byName[s.Name] = s
	for _, a := range s.Addresses {
		v.byAddress[a] = s
	}
}

// Service returns the service with the given name, or nil.
func (v *View) Service(name ServiceName) *Service {
	return v.byName[name]
}

// ServiceAt returns the service with the given service address, or nil.
func (v *View) ServiceAt(address netip.AddrPort) *Service {
	return v.byAddress[address]
}
