package patch

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/currantturn/currantturn"
)

// Name is the name of an operation in a published patch.
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

// Operation is one operation of a patch.
type Operation interface {
	// Name returns the operation's published name.
	Name() Name
	// apply checks the operation, edits the services and adds reasons to reject it.
	apply(e *editor)
}

// AddService adds a service with its addresses and backend servers.
type AddService struct {
	Service        currantturn.ServiceName     `json:"service"`
	Addresses      []netip.AddrPort            `json:"addresses"`
	Limits         LimitChanges                `json:"limits,omitzero"`
	BackendServers []currantturn.BackendServer `json:"backend_servers,omitempty"`
}

// RemoveService removes a service; AllowActive permits this while the service has
// backend servers that are not draining.
type RemoveService struct {
	Service     currantturn.ServiceName `json:"service"`
	AllowActive bool                    `json:"allow_active,omitempty"`
}

// SetAddresses replaces the addresses of a service.
type SetAddresses struct {
	Service   currantturn.ServiceName `json:"service"`
	Addresses []netip.AddrPort        `json:"addresses"`
}

// SetLimits changes the limits that are present in Limits.
type SetLimits struct {
	Service currantturn.ServiceName `json:"service"`
	Limits  LimitChanges            `json:"limits"`
}

// AddBackendServer adds a backend server to a service.
type AddBackendServer struct {
	Service       currantturn.ServiceName   `json:"service"`
	BackendServer currantturn.BackendServer `json:"backend_server"`
}

// RemoveBackendServer removes a draining backend server; AllowActive permits the
// removal of one that is not draining, AllowEmpty that of the last active one.
type RemoveBackendServer struct {
	Service     currantturn.ServiceName `json:"service"`
	ID          currantturn.BackendID   `json:"id"`
	AllowActive bool                    `json:"allow_active,omitempty"`
	AllowEmpty  bool                    `json:"allow_empty,omitempty"`
}

// ReplaceBackendServer replaces a backend server by another one. The replaced one
// must be draining, unless AllowActive is set; AllowEmpty permits that no active one
// remains.
type ReplaceBackendServer struct {
	Service       currantturn.ServiceName   `json:"service"`
	ID            currantturn.BackendID     `json:"id"`
	BackendServer currantturn.BackendServer `json:"backend_server"`
	AllowActive   bool                      `json:"allow_active,omitempty"`
	AllowEmpty    bool                      `json:"allow_empty,omitempty"`
}

// SetWeight sets a backend server's share of new work; 0 gives it none. AllowEmpty
// permits that no active backend server remains.
type SetWeight struct {
	Service    currantturn.ServiceName `json:"service"`
	ID         currantturn.BackendID   `json:"id"`
	Weight     int                     `json:"weight"`
	AllowEmpty bool                    `json:"allow_empty,omitempty"`
}

// SetSlots sets how many requests a backend server runs at once.
type SetSlots struct {
	Service currantturn.ServiceName `json:"service"`
	ID      currantturn.BackendID   `json:"id"`
	Slots   int                     `json:"slots"`
}

// Drain stops new work for a backend server; established flows stay. AllowEmpty
// permits that no active backend server remains.
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

// LimitChanges holds the limits to change; nil leaves a limit as it is.
type LimitChanges struct {
	FlowsPerCaller   *int `json:"flows_per_caller,omitempty"`
	FlowsPerBackend  *int `json:"flows_per_backend,omitempty"`
	QueuePerBackend  *int `json:"queue_per_backend,omitempty"`
	RequestBodyBytes *int `json:"request_body_bytes,omitempty"`
}

// Name implements Operation.
func (AddService) Name() Name { return NameAddService }

// Name implements Operation.
func (RemoveService) Name() Name { return NameRemoveService }

// Name implements Operation.
func (SetAddresses) Name() Name { return NameSetAddresses }

// Name implements Operation.
func (SetLimits) Name() Name { return NameSetLimits }

// Name implements Operation.
func (AddBackendServer) Name() Name { return NameAddBackendServer }

// Name implements Operation.
func (RemoveBackendServer) Name() Name { return NameRemoveBackendServer }

// Name implements Operation.
func (ReplaceBackendServer) Name() Name { return NameReplaceBackendServer }

// Name implements Operation.
func (SetWeight) Name() Name { return NameSetWeight }

// Name implements Operation.
func (SetSlots) Name() Name { return NameSetSlots }

// Name implements Operation.
func (Drain) Name() Name { return NameDrain }

// Name implements Operation.
func (Undrain) Name() Name { return NameUndrain }

// decoders holds the decoder of each operation.
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
	err := unmarshalStrict(p, &op)
	return op, err
}

// decodeOperation decodes the operation named by the field op; the other fields are
// the operation's own.
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

// encodeOperation returns the operation's JSON object with the field op put first.
// The object must have at least one field.
func encodeOperation(op Operation) (json.RawMessage, error) {
	body, err := json.Marshal(op)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf(`{"op":%q,`, op.Name())
	return append([]byte(head), body[1:]...), nil
}
