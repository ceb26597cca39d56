package patch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/currantturn/currantturn"
)

// Patch changes the configuration from the version that it builds on.
type Patch struct {
	BuildsOn   currantturn.Version
	Comment    string
	Operations []Operation
}

// published is the JSON form of a patch.
type published struct {
	BuildsOn   *currantturn.Version `json:"builds_on"`
	Comment    string               `json:"comment,omitempty"`
	Operations []json.RawMessage    `json:"operations"`
}

// Decode reads a published patch strictly and returns every fault it finds.
func Decode(p []byte) (*Patch, Reasons) {
	if len(p) > MaxBytes {
		return nil, whole(CodeTooLarge, "", "patch of %d bytes; at most %d", len(p), MaxBytes)
	}
	if err := strict(p); err != nil {
		return nil, whole(CodeMalformed, "", "%v", err)
	}
	var in published
	if err := unmarshal(p, &in); err != nil {
		return nil, Reasons{fault(wholePatch, err)}
	}
	var rs Reasons
	if in.BuildsOn == nil {
		rs = append(rs, whole(CodeInvalid, "builds_on", "is missing")...)
		in.BuildsOn = new(currantturn.Version)
	}
	if len(in.Comment) > MaxCommentBytes {
		rs = append(rs, whole(CodeTooLarge, "comment", "%d bytes; at most %d", len(in.Comment), MaxCommentBytes)...)
	}
	if n := len(in.Operations); n == 0 || n > MaxOperations {
		rs = append(rs, whole(CodeOutOfRange, "operations", "%d operations; 1 to %d", n, MaxOperations)...)
	}
	out := &Patch{BuildsOn: *in.BuildsOn, Comment: in.Comment}
	for i, raw := range in.Operations {
		op, err := decodeOperation(raw)
		if err != nil {
			rs = append(rs, fault(i, err))
			continue
		}
		out.Operations = append(out.Operations, op)
	}
	if len(rs) > 0 {
		return nil, rs
	}
	return out, nil
}

// Encode returns the published form of a patch.
func Encode(p *Patch) ([]byte, error) {
	out := published{BuildsOn: &p.BuildsOn, Comment: p.Comment}
	for _, op := range p.Operations {
		raw, err := encodeOperation(op)
		if err != nil {
			return nil, err
		}
		out.Operations = append(out.Operations, raw)
	}
	return json.MarshalIndent(out, "", "  ")
}

func whole(code Code, field, format string, args ...any) Reasons {
	return Reasons{{Operation: wholePatch, Field: field, Code: code, Detail: fmt.Sprintf(format, args...)}}
}

// unmarshal reads JSON and refuses fields that v does not have.
func unmarshal(p []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(p))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

const unknownFieldPrefix = "json: unknown field "

// fault turns an error of decoding into a reason.
func fault(operation int, err error) Reason {
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
