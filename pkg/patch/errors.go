package patch

import (
	"errors"
	"fmt"
	"strings"

	"github.com/currantturn/currantturn"
)

// Sentinel errors for the reasons of a rejection and for misplaced records; test
// for them with errors.Is.
var (
	// ErrConflict reports a patch that builds on another version than the one in force.
	ErrConflict = errors.New("patch builds on another version")
	// ErrUnknownOperation reports an operation that does not exist.
	ErrUnknownOperation = errors.New("unknown operation")
	// ErrUnknownField reports a field that the operation does not have.
	ErrUnknownField = errors.New("unknown field")
	// ErrOutOfRange reports a value outside its range.
	ErrOutOfRange = errors.New("value out of range")
	// ErrInvalid reports a value that its field does not permit.
	ErrInvalid = errors.New("invalid value")
	// ErrNotFound reports a service or backend server that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrExists reports a service or backend server that exists already.
	ErrExists = errors.New("already exists")
	// ErrAddressTaken reports an address that is used more than once.
	ErrAddressTaken = errors.New("address is taken")
	// ErrNotDrained reports the removal of a backend server that is not draining.
	ErrNotDrained = errors.New("backend server is not draining")
	// ErrLastActive reports a service that would lose its last active backend server.
	ErrLastActive = errors.New("last active backend server")
	// ErrPosition reports a record whose position is not the next one in the log.
	ErrPosition = errors.New("record is not the next one of the log")
)

// errorsByCode holds the sentinel error of each code.
var errorsByCode = map[Code]error{
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

// Code is the kind of a reason.
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

// wholePatch is the operation index in a reason that concerns the whole patch.
const wholePatch = -1

// Reason is one cause of a rejection.
type Reason struct {
	Operation int    `cbor:"operation" json:"operation"` // index in the patch, or -1 for the whole patch
	Field     string `cbor:"field" json:"field"`
	Code      Code   `cbor:"code" json:"code"`
	Detail    string `cbor:"detail" json:"detail"`
}

// Error returns the operation, the field, the code and the detail as one line.
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
	return errorsByCode[r.Code]
}

// Reasons lists all causes of a rejection, ordered by operation.
type Reasons []Reason

// Error returns all causes as one line.
func (rs Reasons) Error() string {
	texts := make([]string, len(rs))
	for i, r := range rs {
		texts[i] = r.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns the causes as errors, for errors.Is.
func (rs Reasons) Unwrap() []error {
	errs := make([]error, len(rs))
	for i, r := range rs {
		errs[i] = r
	}
	return errs
}
