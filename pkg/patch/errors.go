package patch

import (
	"errors"
	"fmt"
	"strings"

	"github.com/currantturn/currantturn"
)

// Sentinel errors of rejected patches; callers test for them with errors.Is.
var (
	// ErrConflict reports a patch that builds on another version.
	ErrConflict = errors.New("patch builds on another version")
	// ErrUnknownOperation reports an operation that does not exist.
	ErrUnknownOperation = errors.New("unknown operation")
	// ErrUnknownField reports a field that the operation does not have.
	ErrUnknownField = errors.New("unknown field")
	// ErrOutOfRange reports a value outside its range.
	ErrOutOfRange = errors.New("value out of range")
	// ErrInvalid reports a value that has no meaning in its field.
	ErrInvalid = errors.New("invalid value")
	// ErrNotFound reports a service or backend server that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExists reports a service or backend server that exists already.
	ErrExists = errors.New("already exists")
	// ErrAddressTaken reports an address that is in use already.
	ErrAddressTaken = errors.New("address is taken")
	// ErrNotDrained reports the removal of a backend server that is not draining.
	ErrNotDrained = errors.New("backend server is not draining")
	// ErrLastActive reports a service that would lose its last active backend server.
	ErrLastActive = errors.New("last active backend server")
	// ErrPosition reports a record that does not follow the fold's position.
	ErrPosition = errors.New("record does not follow the log")
)

var codes = map[Code]error{
	CodeConflict:         ErrConflict,
	CodeMalformed:        currantturn.ErrMalformed,
	CodeTooLarge:         currantturn.ErrTooLarge,
	CodeUnknownOperation: ErrUnknownOperation,
	CodeUnknownField:     ErrUnknownField,
	CodeOutOfRange:       ErrOutOfRange,
	CodeInvalid:          ErrInvalid,
	CodeNotFound:         ErrNotFound,
	CodeExists:           ErrExists,
	CodeAddressTaken:     ErrAddressTaken,
	CodeNotDrained:       ErrNotDrained,
	CodeLastActive:       ErrLastActive,
}

// Code names the kind of a reason.
type Code string

// Codes of reasons, one for each sentinel error.
const (
	CodeConflict         Code = "conflict"
	CodeMalformed        Code = "malformed"
	CodeTooLarge         Code = "too_large"
	CodeUnknownOperation Code = "unknown_operation"
	CodeUnknownField     Code = "unknown_field"
	CodeOutOfRange       Code = "out_of_range"
	CodeInvalid          Code = "invalid"
	CodeNotFound         Code = "not_found"
	CodeExists           Code = "exists"
	CodeAddressTaken     Code = "address_taken"
	CodeNotDrained       Code = "not_drained"
	CodeLastActive       Code = "last_active"
)

// wholePatch is the operation index of a reason that concerns the whole patch.
const wholePatch = -1

// Reason is one exact cause of a rejection.
type Reason struct {
	Operation int    `cbor:"operation" json:"operation"` // index, or -1 for the whole patch
	Field     string `cbor:"field" json:"field"`
	Code      Code   `cbor:"code" json:"code"`
	Detail    string `cbor:"detail" json:"detail"`
}

// Error names the operation, the field and the cause.
func (r Reason) Error() string {
	var b strings.Builder
	if r.Operation != wholePatch {
		fmt.Fprintf(&b, "operations[%d]", r.Operation)
	}
	if r.Field != "" {
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(r.Field)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "%s: %s", r.Code, r.Detail)
	return b.String()
}

// Unwrap returns the sentinel error of the reason's code.
func (r Reason) Unwrap() error {
	return codes[r.Code]
}

// Reasons are all causes of a rejection, in order of the operations.
type Reasons []Reason

// Error joins the causes.
func (rs Reasons) Error() string {
	all := make([]string, len(rs))
	for i, r := range rs {
		all[i] = r.Error()
	}
	return strings.Join(all, "; ")
}

// Unwrap returns each cause, for errors.Is.
func (rs Reasons) Unwrap() []error {
	all := make([]error, len(rs))
	for i, r := range rs {
		all[i] = r
	}
	return all
}
