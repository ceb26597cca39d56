package patch

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/currantturn/currantturn"
)

// editor applies the operations of a patch to a copy of a configuration's services
// and collects the reasons to reject the patch.
type editor struct {
	services       []currantturn.Service            // copy; Backends are shared with the base until copied
	backendsCopied map[currantturn.ServiceName]bool // services that have their own copy of Backends
	operationIndex int                              // operation in the reasons that reject adds, or wholePatch
	reasons        Reasons
	newAddresses   map[netip.AddrPort]*usage        // addresses that the patch sets
	newIDs         map[currantturn.BackendID]*usage // backend server IDs that the patch sets
	activeRequired map[currantturn.ServiceName]*activeRequirement
}

// usage counts the uses, in the changed configuration, of an address or ID that the
// patch sets.
type usage struct {
	operation int    // index of the first operation that sets it
	field     string // field of that operation
	count     int
	service   currantturn.ServiceName // first service by name that uses the address
}

// activeRequirement says that a service must have an active backend server after the
// patch, because an operation may have removed, drained or disabled the last one.
type activeRequirement struct {
	operation  int  // index of the last such operation
	allowEmpty bool // at least one such operation waives the requirement
}

func newEditor(services []currantturn.Service) *editor {
	return &editor{
		services:       slices.Clone(services),
		backendsCopied: map[currantturn.ServiceName]bool{},
		newAddresses:   map[netip.AddrPort]*usage{},
		newIDs:         map[currantturn.BackendID]*usage{},
		activeRequired: map[currantturn.ServiceName]*activeRequirement{},
	}
}

// reject adds a reason for the current operation.
func (e *editor) reject(field string, code Code, format string, args ...any) {
	e.reasons = append(e.reasons, Reason{
		Operation: e.operationIndex, Field: field, Code: code, Detail: fmt.Sprintf(format, args...),
	})
}

// findService returns the service for editing; if there is none, it adds a reason and
// returns nil.
func (e *editor) findService(name currantturn.ServiceName) *currantturn.Service {
	i, ok := slices.BinarySearchFunc(e.services, name, compareServiceName)
	if !ok {
		e.reject("service", CodeNotFound, "no service %q", name)
		return nil
	}
	return &e.services[i]
}

// findBackend returns a backend server and its service for editing; if one of them
// does not exist, it adds a reason and returns nil for it.
func (e *editor) findBackend(
	name currantturn.ServiceName, id currantturn.BackendID,
) (*currantturn.Service, *currantturn.BackendServer) {
	s := e.findService(name)
	if s == nil {
		return nil, nil
	}
	if !e.backendsCopied[name] {
		s.Backends = slices.Clone(s.Backends)
		e.backendsCopied[name] = true
	}
	b := s.Backend(id)
	if b == nil {
		e.reject("id", CodeNotFound, "no backend server %q in service %q", id, name)
	}
	return s, b
}

func (e *editor) addService(s currantturn.Service) {
	i, exists := slices.BinarySearchFunc(e.services, s.Name, compareServiceName)
	if exists {
		e.reject("service", CodeExists, "service %q", s.Name)
		return
	}
	e.services = slices.Insert(e.services, i, s)
	e.backendsCopied[s.Name] = true
}

func (e *editor) removeService(name currantturn.ServiceName) {
	e.services = slices.DeleteFunc(e.services, func(s currantturn.Service) bool { return s.Name == name })
	delete(e.backendsCopied, name)
	delete(e.activeRequired, name)
}

// requireActive records that the current operation may leave the service without an
// active backend server, for checkActive.
func (e *editor) requireActive(name currantturn.ServiceName, allowEmpty bool) {
	r := e.activeRequired[name]
	if r == nil {
		r = &activeRequirement{}
		e.activeRequired[name] = r
	}
	r.operation = e.operationIndex
	r.allowEmpty = r.allowEmpty || allowEmpty
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

// checkAddress rejects an unusable address and adds any other one to newAddresses.
func (e *editor) checkAddress(field string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		e.reject(field, CodeInvalid, "%q is not a usable address and port", a)
		return
	}
	if a.Addr().Zone() != "" || a.Addr().Is4In6() {
		e.reject(field, CodeInvalid, "%q has a zone or is a mapped IPv4 address", a)
		return
	}
	if e.newAddresses[a] == nil {
		e.newAddresses[a] = &usage{operation: e.operationIndex, field: field}
	}
}

// checkBackend checks a new backend server, adds it to newIDs and returns it with the
// default state where the patch sets none.
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
	if e.newIDs[b.ID] == nil {
		e.newIDs[b.ID] = &usage{operation: e.operationIndex, field: field + ".id"}
	}
	return b
}

func (e *editor) checkDraining(field string, b *currantturn.BackendServer) {
	if b.State != currantturn.BackendDraining {
		e.reject(field, CodeNotDrained, "backend server %q is %s; drain it first or set allow_active", b.ID, b.State)
	}
}

// indexedField returns the name of an element of a list field in a reason.
func indexedField(field string, i int) string {
	return fmt.Sprintf("%s[%d]", field, i)
}

// checkResult checks the configuration after all operations and sorts the reasons by
// operation.
func (e *editor) checkResult() {
	e.checkUnique()
	e.checkSizes()
	e.checkActive()
	slices.SortStableFunc(e.reasons, func(a, b Reason) int { return a.Operation - b.Operation })
}

// checkUnique rejects addresses and IDs that the patch sets and that are used more
// than once afterwards. It checks the result rather than each operation, so that a
// patch may swap two addresses.
func (e *editor) checkUnique() {
	if len(e.newAddresses) == 0 && len(e.newIDs) == 0 {
		return
	}
	for i := range e.services {
		s := &e.services[i]
		for _, a := range s.Addresses {
			e.countAddress(a, s.Name)
		}
		for j := range s.Backends {
			b := &s.Backends[j]
			e.countAddress(b.Agent, s.Name)
			e.countAddress(b.Stream, s.Name)
			if u := e.newIDs[b.ID]; u != nil {
				u.count++
			}
		}
	}
	e.rejectDuplicates()
}

// countAddress counts one use of an address by a service, if the patch sets it.
func (e *editor) countAddress(a netip.AddrPort, s currantturn.ServiceName) {
	u := e.newAddresses[a]
	if u == nil {
		return
	}
	u.count++
	if u.count == 1 || s < u.service {
		u.service = s
	}
}

func (e *editor) rejectDuplicates() {
	for a, u := range e.newAddresses {
		if u.count > 1 {
			e.operationIndex = u.operation
			e.reject(u.field, CodeAddressTaken, "%s has %d users, one in service %q", a, u.count, u.service)
		}
	}
	for id, u := range e.newIDs {
		if u.count > 1 {
			e.operationIndex = u.operation
			e.reject(u.field, CodeExists, "backend server %q", id)
		}
	}
	// Map iteration order is random, but every process must list the same reasons in
	// the same order.
	slices.SortFunc(e.reasons, func(a, b Reason) int {
		if a.Operation != b.Operation {
			return a.Operation - b.Operation
		}
		if c := compareStrings(a.Field, b.Field); c != 0 {
			return c
		}
		return compareStrings(a.Detail, b.Detail)
	})
}

func (e *editor) checkSizes() {
	n := 0
	for i := range e.services {
		n += len(e.services[i].Backends)
	}
	e.operationIndex = wholePatch
	if len(e.services) > MaxServices {
		e.reject("operations", CodeTooLarge, "%d services; at most %d", len(e.services), MaxServices)
	}
	if n > MaxBackendServers {
		e.reject("operations", CodeTooLarge, "%d backend servers; at most %d", n, MaxBackendServers)
	}
}

// checkActive rejects a patch that leaves a service of activeRequired without an
// active backend server.
func (e *editor) checkActive() {
	for i := range e.services {
		s := &e.services[i]
		r := e.activeRequired[s.Name]
		if r == nil || r.allowEmpty || hasActiveBackend(s) {
			continue
		}
		e.operationIndex = r.operation
		e.reject("", CodeLastActive, "service %q would have no active backend server; set allow_empty to permit this", s.Name)
	}
}

// hasActiveBackend reports whether a backend server of s can receive new work.
func hasActiveBackend(s *currantturn.Service) bool {
	return slices.ContainsFunc(s.Backends, func(b currantturn.BackendServer) bool {
		return b.State == currantturn.BackendActive && b.Weight > 0
	})
}
