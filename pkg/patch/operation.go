package patch

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/currantturn/currantturn"
)

// Name names an operation in a published patch.
type Name string

// Names of the operations.
const (
	NameAddService           Name = "add_service"
	NameRemoveService        Name = "remove_service"
	NameSetAddresses         Name = "set_addresses"
	NameSetLimits            Name = "set_limits"
	NameAddBackendServer     Name = "add_backend_server"
	NameRemoveBackendServer  Name = "remove_backend_server"
	NameReplaceBackendServer Name = "replace_backend_server"
	NameSetWeight            Name = "set_weight"
	NameSetSlots             Name = "set_slots"
	NameDrain                Name = "drain"
	NameUndrain              Name = "undrain"
)

// Operation is one typed change of a patch.
type Operation interface {
	// Name returns the operation's published name.
	Name() Name
	apply(e *editor)
}

// AddService adds a service with its addresses and backend servers.
type AddService struct {
	Service        currantturn.ServiceName     `json:"service"`
	Addresses      []netip.AddrPort            `json:"addresses"`
	Limits         LimitChanges                `json:"limits,omitzero"`
	BackendServers []currantturn.BackendServer `json:"backend_servers,omitempty"`
}

// RemoveService removes a service; AllowActive lets it hold backend servers
// that are not draining.
type RemoveService struct {
	Service     currantturn.ServiceName `json:"service"`
	AllowActive bool                    `json:"allow_active,omitempty"`
}

// SetAddresses replaces the addresses of a service.
type SetAddresses struct {
	Service   currantturn.ServiceName `json:"service"`
	Addresses []netip.AddrPort        `json:"addresses"`
}

// SetLimits changes the limits that it names.
type SetLimits struct {
	Service currantturn.ServiceName `json:"service"`
	Limits  LimitChanges            `json:"limits"`
}

// AddBackendServer adds a backend server to a service.
type AddBackendServer struct {
	Service       currantturn.ServiceName   `json:"service"`
	BackendServer currantturn.BackendServer `json:"backend_server"`
}

// RemoveBackendServer removes a draining backend server; AllowActive removes
// one that is not draining, AllowEmpty the last active one.
type RemoveBackendServer struct {
	Service     currantturn.ServiceName `json:"service"`
	ID          currantturn.BackendID   `json:"id"`
	AllowActive bool                    `json:"allow_active,omitempty"`
	AllowEmpty  bool                    `json:"allow_empty,omitempty"`
}

// ReplaceBackendServer puts another VM in the place of a backend server that
// is draining, or with AllowActive in any state.
type ReplaceBackendServer struct {
	Service       currantturn.ServiceName   `json:"service"`
	ID            currantturn.BackendID     `json:"id"`
	BackendServer currantturn.BackendServer `json:"backend_server"`
	AllowActive   bool                      `json:"allow_active,omitempty"`
	AllowEmpty    bool                      `json:"allow_empty,omitempty"`
}

// SetWeight changes the share of new work; 0 gives none.
type SetWeight struct {
	Service    currantturn.ServiceName `json:"service"`
	ID         currantturn.BackendID   `json:"id"`
	Weight     int                     `json:"weight"`
	AllowEmpty bool                    `json:"allow_empty,omitempty"`
}

// SetSlots changes how many requests run at once.
type SetSlots struct {
	Service currantturn.ServiceName `json:"service"`
	ID      currantturn.BackendID   `json:"id"`
	Slots   int                     `json:"slots"`
}

// Drain stops new work; established flows stay.
type Drain struct {
	Service    currantturn.ServiceName `json:"service"`
	ID         currantturn.BackendID   `json:"id"`
	AllowEmpty bool                    `json:"allow_empty,omitempty"`
}

// Undrain lets a draining backend server receive new work again.
type Undrain struct {
	Service currantturn.ServiceName `json:"service"`
	ID      currantturn.BackendID   `json:"id"`
}

// LimitChanges names the limits to change; nil keeps a limit.
type LimitChanges struct {
	FlowsPerCaller   *int `json:"flows_per_caller,omitempty"`
	FlowsPerBackend  *int `json:"flows_per_backend,omitempty"`
	QueuePerBackend  *int `json:"queue_per_backend,omitempty"`
	RequestBodyBytes *int `json:"request_body_bytes,omitempty"`
}

// Name returns the operation's published name.
func (AddService) Name() Name { return NameAddService }

// Name returns the operation's published name.
func (RemoveService) Name() Name { return NameRemoveService }

// Name returns the operation's published name.
func (SetAddresses) Name() Name { return NameSetAddresses }

// Name returns the operation's published name.
func (SetLimits) Name() Name { return NameSetLimits }

// Name returns the operation's published name.
func (AddBackendServer) Name() Name { return NameAddBackendServer }

// Name returns the operation's published name.
func (RemoveBackendServer) Name() Name { return NameRemoveBackendServer }

// Name returns the operation's published name.
func (ReplaceBackendServer) Name() Name { return NameReplaceBackendServer }

// Name returns the operation's published name.
func (SetWeight) Name() Name { return NameSetWeight }

// Name returns the operation's published name.
func (SetSlots) Name() Name { return NameSetSlots }

// Name returns the operation's published name.
func (Drain) Name() Name { return NameDrain }

// Name returns the operation's published name.
func (Undrain) Name() Name { return NameUndrain }

var decoders = map[Name]func([]byte) (Operation, error){
	NameAddService:           decodeAs[AddService],
	NameRemoveService:        decodeAs[RemoveService],
	NameSetAddresses:         decodeAs[SetAddresses],
	NameSetLimits:            decodeAs[SetLimits],
	NameAddBackendServer:     decodeAs[AddBackendServer],
	NameRemoveBackendServer:  decodeAs[RemoveBackendServer],
	NameReplaceBackendServer: decodeAs[ReplaceBackendServer],
	NameSetWeight:            decodeAs[SetWeight],
	NameSetSlots:             decodeAs[SetSlots],
	NameDrain:                decodeAs[Drain],
	NameUndrain:              decodeAs[Undrain],
}

func decodeAs[T Operation](p []byte) (Operation, error) {
	var op T
	err := unmarshal(p, &op)
	return op, err
}

// decodeOperation splits off the name, then decodes the rest as that operation.
func decodeOperation(raw json.RawMessage) (Operation, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	var name Name
	if p, ok := fields["op"]; ok {
		if err := json.Unmarshal(p, &name); err != nil {
			return nil, err
		}
	}
	decode := decoders[name]
	if decode == nil {
		return nil, fmt.Errorf("%w %q", ErrUnknownOperation, name)
	}
	delete(fields, "op")
	rest, err := json.Marshal(fields)
	if err != nil {
		return nil, err
	}
	return decode(rest)
}

func encodeOperation(op Operation) (json.RawMessage, error) {
	body, err := json.Marshal(op)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf(`{"op":%q,`, op.Name())
	return append([]byte(head), body[1:]...), nil
}
