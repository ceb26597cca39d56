package patch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/currantturn/currantturn"
)

// Patch is a list of operations that change the version that it builds on.
type Patch struct {
	BuildsOn   currantturn.Version
	Comment    string
	Operations []Operation
}

// publishedPatch is the JSON form of a patch. BuildsOn is nil if the field is missing.
type publishedPatch struct {
	BuildsOn   *currantturn.Version `json:"builds_on"`
	Comment    string               `json:"comment,omitempty"`
	Operations []json.RawMessage    `json:"operations"`
}

// Decode strictly decodes a published patch. It returns nil and all reasons found if
// the patch is not valid.
func Decode(p []byte) (*Patch, Reasons) {
	if len(p) > MaxBytes {
		return nil, wholePatchReasons(CodeTooLarge, "", "patch of %d bytes; at most %d", len(p), MaxBytes)
	}
	if err := checkStrict(p); err != nil {
		return nil, wholePatchReasons(CodeMalformed, "", "%v", err)
	}
	var in publishedPatch
	if err := unmarshalStrict(p, &in); err != nil {
		return nil, Reasons{decodeReason(wholePatch, err)}
	}
	var rs Reasons
	if in.BuildsOn == nil {
		rs = append(rs, wholePatchReasons(CodeInvalid, "builds_on", "is missing")...)
		in.BuildsOn = new(currantturn.Version)
	}
	if len(in.Comment) > MaxCommentBytes {
		rs = append(rs, wholePatchReasons(CodeTooLarge, "comment", "%d bytes; at most %d", len(in.Comment), MaxCommentBytes)...)
	}
	if n := len(in.Operations); n == 0 || n > MaxOperations {
		rs = append(rs, wholePatchReasons(CodeOutOfRange, "operations", "%d operations; 1 to %d", n, MaxOperations)...)
	}
	out := &Patch{BuildsOn: *in.BuildsOn, Comment: in.Comment}
	for i, raw := range in.Operations {
		op, err := decodeOperation(raw)
		if err != nil {
			rs = append(rs, decodeReason(i, err))
			continue
		}
		out.Operations = append(out.Operations, op)
	}
	if len(rs) > 0 {
		return nil, rs
	}
	return out, nil
}

// Encode returns the published JSON form of a patch.
func Encode(p *Patch) ([]byte, error) {
	out := publishedPatch{BuildsOn: &p.BuildsOn, Comment: p.Comment}
	for _, op := range p.Operations {
		raw, err := encodeOperation(op)
		if err != nil {
			return nil, err
		}
		out.Operations = append(out.Operations, raw)
	}
	return json.MarshalIndent(out, "", "  ")
}

// wholePatchReasons returns a list with one reason that concerns the whole patch.
func wholePatchReasons(code Code, field, format string, args ...any) Reasons {
	return Reasons{{Operation: wholePatch, Field: field, Code: code, Detail: fmt.Sprintf(format, args...)}}
}

// unmarshalStrict decodes JSON and rejects fields that v does not have.
func unmarshalStrict(p []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// unknownFieldPrefix starts the error of encoding/json for an unknown field, which
// has no type of its own.
const unknownFieldPrefix = "json: unknown field "

// decodeReason returns the reason for a decoding error of the given operation.
func decodeReason(operation int, err error) Reason {
	r := Reason{Operation: operation, Code: CodeMalformed, Detail: err.Error()}
	var typed *json.UnmarshalTypeError
	name, unknown := strings.CutPrefix(err.Error(), unknownFieldPrefix)
	switch {
	case errors.Is(err, ErrUnknownOperation):
		r.Field = "op"
		r.Code = CodeUnknownOperation
	case unknown:
		r.Field = strings.Trim(name, `"`)
		r.Code = CodeUnknownField
		r.Detail = "no such field"
	case errors.As(err, &typed):
		r.Field = typed.Field
		r.Code = CodeInvalid
		r.Detail = "cannot hold a " + typed.Value
	}
	return r
}
