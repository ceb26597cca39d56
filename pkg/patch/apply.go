package patch

import (
	"net/netip"
	"slices"

	"github.com/currantturn/currantturn"
)

// DefaultLimits are the limits of an added service where its patch sets none.
var DefaultLimits = currantturn.Limits{
	FlowsPerCaller:   1 << 10,
	FlowsPerBackend:  1 << 16,
	QueuePerBackend:  256,
	RequestBodyBytes: 16 << 20,
}

func (op AddService) apply(e *editor) {
	e.checkName("service", string(op.Service))
	e.checkAddresses("addresses", op.Addresses)
	s := currantturn.Service{Name: op.Service, Addresses: slices.Clone(op.Addresses), Limits: DefaultLimits}
	e.changeLimits(&s.Limits, op.Limits)
	for i := range op.BackendServers {
		b := e.checkBackend(indexedField("backend_servers", i), op.BackendServers[i])
		e.insertBackend(&s, indexedField("backend_servers", i), b)
	}
	e.addService(s)
}

func (op RemoveService) apply(e *editor) {
	s := e.findService(op.Service)
	if s == nil {
		return
	}
	if !op.AllowActive {
		for i := range s.Backends {
			e.checkDraining("service", &s.Backends[i])
		}
	}
	e.removeService(op.Service)
}

func (op SetAddresses) apply(e *editor) {
	e.checkAddresses("addresses", op.Addresses)
	if s := e.findService(op.Service); s != nil {
		s.Addresses = slices.Clone(op.Addresses)
	}
}

func (op SetLimits) apply(e *editor) {
	if s := e.findService(op.Service); s != nil {
		e.changeLimits(&s.Limits, op.Limits)
	}
}

func (op AddBackendServer) apply(e *editor) {
	b := e.checkBackend("backend_server", op.BackendServer)
	if s := e.findService(op.Service); s != nil {
		s.Backends = slices.Clone(s.Backends)
		e.insertBackend(s, "backend_server", b)
	}
}

func (op RemoveBackendServer) apply(e *editor) {
	s, b := e.findBackend(op.Service, op.ID)
	if b == nil {
		return
	}
	if !op.AllowActive {
		e.checkDraining("id", b)
	}
	e.requireActive(op.Service, op.AllowEmpty)
	s.Backends = slices.DeleteFunc(s.Backends, func(x currantturn.BackendServer) bool { return x.ID == op.ID })
}

func (op ReplaceBackendServer) apply(e *editor) {
	replacement := e.checkBackend("backend_server", op.BackendServer)
	s, b := e.findBackend(op.Service, op.ID)
	if b == nil {
		return
	}
	if !op.AllowActive {
		e.checkDraining("id", b)
	}
	e.requireActive(op.Service, op.AllowEmpty)
	s.Backends = slices.DeleteFunc(s.Backends, func(x currantturn.BackendServer) bool { return x.ID == op.ID })
	e.insertBackend(s, "backend_server", replacement)
}

func (op SetWeight) apply(e *editor) {
	e.checkRange("weight", op.Weight, minWeight, maxWeight)
	if _, b := e.findBackend(op.Service, op.ID); b != nil {
		e.requireActive(op.Service, op.AllowEmpty)
		b.Weight = op.Weight
	}
}

func (op SetSlots) apply(e *editor) {
	e.checkRange("slots", op.Slots, minSlots, maxSlots)
	if _, b := e.findBackend(op.Service, op.ID); b != nil {
		b.Slots = op.Slots
	}
}

func (op Drain) apply(e *editor) {
	if _, b := e.findBackend(op.Service, op.ID); b != nil {
		e.requireActive(op.Service, op.AllowEmpty)
		b.State = currantturn.BackendDraining
	}
}

func (op Undrain) apply(e *editor) {
	if _, b := e.findBackend(op.Service, op.ID); b != nil {
		b.State = currantturn.BackendActive
	}
}

// insertBackend inserts a backend server in the order of IDs. The caller must have
// copied s.Backends first, since other configurations may share it. An ID that the
// service already has is rejected here rather than in checkUnique, since for later
// operations the ID would be ambiguous.
func (e *editor) insertBackend(s *currantturn.Service, field string, b currantturn.BackendServer) {
	i, exists := slices.BinarySearchFunc(s.Backends, b.ID, compareBackendID)
	if exists {
		e.reject(field+".id", CodeExists, "backend server %q in service %q", b.ID, s.Name)
		return
	}
	s.Backends = slices.Insert(s.Backends, i, b)
}

func compareBackendID(b currantturn.BackendServer, id currantturn.BackendID) int {
	return compareStrings(b.ID, id)
}

func compareServiceName(s currantturn.Service, name currantturn.ServiceName) int {
	return compareStrings(s.Name, name)
}

func compareStrings[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// limitRanges lists the limits of a service with their permitted ranges.
var limitRanges = []struct {
	field    string
	min, max int
	get      func(*currantturn.Limits) *int
	change   func(*LimitChanges) *int
}{
	{
		"flows_per_caller", 1, 1 << 20,
		func(l *currantturn.Limits) *int { return &l.FlowsPerCaller },
		func(c *LimitChanges) *int { return c.FlowsPerCaller },
	},
	{
		"flows_per_backend", 1, 1 << 20,
		func(l *currantturn.Limits) *int { return &l.FlowsPerBackend },
		func(c *LimitChanges) *int { return c.FlowsPerBackend },
	},
	{
		"queue_per_backend", 0, 1 << 16,
		func(l *currantturn.Limits) *int { return &l.QueuePerBackend },
		func(c *LimitChanges) *int { return c.QueuePerBackend },
	},
	{
		"request_body_bytes", 0, 1 << 30,
		func(l *currantturn.Limits) *int { return &l.RequestBodyBytes },
		func(c *LimitChanges) *int { return c.RequestBodyBytes },
	},
}

// changeLimits checks and sets the limits that are present in c.
func (e *editor) changeLimits(l *currantturn.Limits, c LimitChanges) {
	for _, r := range limitRanges {
		if n := r.change(&c); n != nil {
			e.checkRange("limits."+r.field, *n, r.min, r.max)
			*r.get(l) = *n
		}
	}
}

func (e *editor) checkAddresses(field string, addresses []netip.AddrPort) {
	if n := len(addresses); n == 0 || n > MaxAddresses {
		e.reject(field, CodeOutOfRange, "%d addresses; 1 to %d", n, MaxAddresses)
	}
	for i, a := range addresses {
		e.checkAddress(indexedField(field, i), a)
	}
}
