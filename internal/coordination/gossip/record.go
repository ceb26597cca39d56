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

// recordWire is the encoding of a record between peers; a patch that does not fit
// into one part is compressed.
type recordWire struct {
	_          struct{} `cbor:",toarray"`
	Author     string
	Time       int64  // nanoseconds since 1970
	Before     []byte // chain digest before the record
	Compressed bool
	Patch      []byte
}

// chainedRecord is a record with the chain digest before it.
type chainedRecord struct {
	record       currantturn.Record
	digestBefore patch.Digest
}

// encodeRecord encodes a record with the chain digest before it.
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
	w, _ := flate.NewWriter(&b, flate.DefaultCompression) // fails only for an invalid level
	_, _ = w.Write(p)
	_ = w.Close()
	return b.Bytes()
}

// decodeRecord is the inverse of encodeRecord.
func decodeRecord(position uint64, p []byte) (*chainedRecord, error) {
	var in recordWire
	if err := cbor.Unmarshal(p, &in); err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	before, ok := toDigest(in.Before)
	if !ok {
		return nil, eris.Wrap(currantturn.ErrMalformed, "digest before the record has the wrong length")
	}
	if in.Compressed {
		decompressed, err := decompress(in.Patch)
		if err != nil {
			return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
		}
		in.Patch = decompressed
	}
	r := currantturn.Record{Position: position, Author: in.Author, Time: time.Unix(0, in.Time).UTC(), Patch: in.Patch}
	return &chainedRecord{record: r, digestBefore: before}, nil
}

// maxRecordBytes bounds a decompressed patch. It exceeds patch.MaxBytes, because
// an oversized patch must also reach every process, so that all reject it alike.
const maxRecordBytes = 2 * patch.MaxBytes

func decompress(p []byte) ([]byte, error) {
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxRecordBytes+1))
	if err != nil {
		return nil, err
	}
	if len(decompressed) > maxRecordBytes {
		return nil, errors.New("decompressed record exceeds the size limit")
	}
	return decompressed, nil
}
