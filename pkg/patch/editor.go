package patch

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/currantturn/currantturn"
)

// editor applies operations to a copy of a configuration and collects faults.
type editor struct {
	services  []currantturn.Service // copy; backend servers are shared until owned
	owned     map[currantturn.ServiceName]bool
	operation int
	reasons   Reasons
	addresses map[netip.AddrPort]*use
	ids       map[currantturn.BackendID]*use
	taken     map[currantturn.ServiceName]*taking
}

// use counts the users of a name or address that the patch introduces.
type use struct {
	operation int
	field     string
	count     int
	holder    currantturn.ServiceName
}

// taking remembers the last operation that took work from a service.
type taking struct {
	operation  int
	allowEmpty bool
}

func newEditor(services []currantturn.Service) *editor {
	return &editor{
		services:  slices.Clone(services),
		owned:     map[currantturn.ServiceName]bool{},
		addresses: map[netip.AddrPort]*use{},
		ids:       map[currantturn.BackendID]*use{},
		taken:     map[currantturn.ServiceName]*taking{},
	}
}

func (e *editor) reject(field string, code Code, format string, args ...any) {
	e.reasons = append(e.reasons, Reason{
		Operation: e.operation, Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	})
}

// service returns the service for editing, or nil with a reason.
func (e *editor) service(name currantturn.ServiceName) *currantturn.Service {
	i, ok := slices.BinarySearchFunc(e.services, name, compareService)
	if !ok {
		e.reject("service", CodeNotFound, "no service %q", name)
		return nil
	}
	return &e.services[i]
}

// backend returns a backend server for editing with its service, or nil with a reason.
func (e *editor) backend(
	name currantturn.ServiceName, id currantturn.BackendID,
) (*currantturn.Service, *currantturn.BackendServer) {
	s := e.service(name)
	if s == nil {
		return nil, nil
	}
	if !e.owned[name] {
		s.Backends = slices.Clone(s.Backends)
		e.owned[name] = true
	}
	b := s.Backend(id)
	if b == nil {
		e.reject("id", CodeNotFound, "no backend server %q in service %q", id, name)
	}
	return s, b
}

func (e *editor) addService(s currantturn.Service) {
	i, exists := slices.BinarySearchFunc(e.services, s.Name, compareService)
	if exists {
		e.reject("service", CodeExists, "service %q", s.Name)
		return
	}
	e.services = slices.Insert(e.services, i, s)
	e.owned[s.Name] = true
}

func (e *editor) removeService(name currantturn.ServiceName) {
	e.services = slices.DeleteFunc(e.services, func(s currantturn.Service) bool { return s.Name == name })
	delete(e.owned, name)
	delete(e.taken, name)
}

// takes notes that the operation may take the last active backend server.
func (e *editor) takes(name currantturn.ServiceName, allowEmpty bool) {
	t := e.taken[name]
	if t == nil {
		t = &taking{}
		e.taken[name] = t
	}
	t.operation = e.operation
	t.allowEmpty = t.allowEmpty || allowEmpty
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

func (e *editor) checkName(field, name string) {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		e.reject(field, CodeInvalid, "%q; want 1 to %d of a-z, 0-9, '.', '_', '-'", name, MaxNameBytes)
	}
}

func (e *editor) checkRange(field string, n, lo, hi int) {
	if n < lo || n > hi {
		e.reject(field, CodeOutOfRange, "%d; %d to %d", n, lo, hi)
	}
}

func (e *editor) checkAddress(field string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		e.reject(field, CodeInvalid, "%q is no usable address and port", a)
		return
	}
	if a.Addr().Zone() != "" || a.Addr().Is4In6() {
		e.reject(field, CodeInvalid, "%q has a zone or is a mapped IPv4 address", a)
		return
	}
	if e.addresses[a] == nil {
		e.addresses[a] = &use{operation: e.operation, field: field}
	}
}

// checkBackend returns the backend server with its state set.
func (e *editor) checkBackend(field string, b currantturn.BackendServer) currantturn.BackendServer {
	if b.State == "" {
		b.State = currantturn.BackendActive
	}
	if b.State != currantturn.BackendActive && b.State != currantturn.BackendDraining {
		e.reject(field+".state", CodeInvalid, "%q; active or draining", b.State)
	}
	e.checkName(field+".id", string(b.ID))
	e.checkName(field+".failure_domain", string(b.FailureDomain))
	e.checkAddress(field+".agent", b.Agent)
	e.checkAddress(field+".stream", b.Stream)
	e.checkRange(field+".slots", b.Slots, minSlots, maxSlots)
	e.checkRange(field+".weight", b.Weight, minWeight, maxWeight)
	if e.ids[b.ID] == nil {
		e.ids[b.ID] = &use{operation: e.operation, field: field + ".id"}
	}
	return b
}

func (e *editor) checkDraining(field string, b *currantturn.BackendServer) {
	if b.State != currantturn.BackendDraining {
		e.reject(field, CodeNotDrained, "backend server %q is %s; drain it first or set allow_active", b.ID, b.State)
	}
}

func indexed(field string, i int) string {
	return fmt.Sprintf("%s[%d]", field, i)
}

// finish checks what only the whole result shows and orders the reasons.
func (e *editor) finish() {
	e.checkUnique()
	e.checkSizes()
	e.checkActive()
	slices.SortStableFunc(e.reasons, func(a, b Reason) int { return a.Operation - b.Operation })
}

// checkUnique counts the users of each name and address that the patch introduces.
func (e *editor) checkUnique() {
	if len(e.addresses) == 0 && len(e.ids) == 0 {
		return
	}
	for i := range e.services {
		s := &e.services[i]
		for _, a := range s.Addresses {
			e.uses(a, s.Name)
		}
		for j := range s.Backends {
			b := &s.Backends[j]
			e.uses(b.Agent, s.Name)
			e.uses(b.Stream, s.Name)
			if u := e.ids[b.ID]; u != nil {
				u.count++
			}
		}
	}
	e.rejectShared()
}

func (e *editor) uses(a netip.AddrPort, s currantturn.ServiceName) {
	u := e.addresses[a]
	if u == nil {
		return
	}
	u.count++
	if u.count == 1 || s < u.holder {
		u.holder = s
	}
}

func (e *editor) rejectShared() {
	for a, u := range e.addresses {
		if u.count > 1 {
			e.operation = u.operation
			e.reject(u.field, CodeAddressTaken, "%s has %d users, one in service %q", a, u.count, u.holder)
		}
	}
	for id, u := range e.ids {
		if u.count > 1 {
			e.operation = u.operation
			e.reject(u.field, CodeExists, "backend server %q", id)
		}
	}
	// The maps have no order, so the reasons get one.
	slices.SortFunc(e.reasons, func(a, b Reason) int {
		if a.Operation != b.Operation {
			return a.Operation - b.Operation
		}
		if c := compare(a.Field, b.Field); c != 0 {
			return c
		}
		return compare(a.Detail, b.Detail)
	})
}

func (e *editor) checkSizes() {
	n := 0
	for i := range e.services {
		n += len(e.services[i].Backends)
	}
	e.operation = wholePatch
	if len(e.services) > MaxServices {
		e.reject("operations", CodeTooLarge, "%d services; at most %d", len(e.services), MaxServices)
	}
	if n > MaxBackendServers {
		e.reject("operations", CodeTooLarge, "%d backend servers; at most %d", n, MaxBackendServers)
	}
}

// checkActive refuses to leave a touched service without an active backend server.
func (e *editor) checkActive() {
	for i := range e.services {
		s := &e.services[i]
		t := e.taken[s.Name]
		if t == nil || t.allowEmpty || anyActive(s) {
			continue
		}
		e.operation = t.operation
		e.reject("", CodeLastActive, "service %q would have no active backend server; set allow_empty to mean it", s.Name)
	}
}

func anyActive(s *currantturn.Service) bool {
	return slices.ContainsFunc(s.Backends, func(b currantturn.BackendServer) bool {
		return b.State == currantturn.BackendActive && b.Weight > 0
	})
}
