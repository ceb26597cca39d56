package gossip

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// recordWire is a record between peers; large patches are compressed.
type recordWire struct {
	_          struct{} `cbor:",toarray"`
	Author     string
	Time       int64  // nanoseconds since 1970
	Before     []byte // chain digest before the record
	Compressed bool
	Patch      []byte
}

// linked is a record with the chain digest that it follows.
type linked struct {
	record currantturn.Record
	before patch.Digest
}

func encodeRecord(r *currantturn.Record, before patch.Digest) ([]byte, error) {
	out := recordWire{Author: r.Author, Time: r.Time.UnixNano(), Before: before[:], Patch: r.Patch}
	if len(r.Patch) > partBytes {
		out.Compressed = true
		out.Patch = compress(r.Patch)
	}
	p, err := cbor.Marshal(out)
	return p, eris.Wrap(err, "encode record")
}

func compress(p []byte) []byte {
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.DefaultCompression) // fails for unknown levels only
	_, _ = w.Write(p)
	_ = w.Close()
	return b.Bytes()
}

func decodeRecord(position uint64, p []byte) (*linked, error) {
	var in recordWire
	if err := cbor.Unmarshal(p, &in); err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	before, ok := toDigest(in.Before)
	if !ok {
		return nil, eris.Wrap(currantturn.ErrMalformed, "digest before the record")
	}
	if in.Compressed {
		plain, err := decompress(in.Patch)
		if err != nil {
			return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
		}
		in.Patch = plain
	}
	r := currantturn.Record{Position: position, Author: in.Author, Time: time.Unix(0, in.Time).UTC(), Patch: in.Patch}
	return &linked{record: r, before: before}, nil
}

// maxRecordBytes leaves room for patches beyond patch.MaxBytes, which are
// rejected by every process alike.
const maxRecordBytes = 2 * patch.MaxBytes

func decompress(p []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxRecordBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxRecordBytes {
		return nil, errors.New("record expands beyond its bound")
	}
	return plain, nil
}
