package patch

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// DigestBytes is the size of a digest.
const DigestBytes = 16

// PastDigests is how many earlier digests a configuration knows, which show
// whether another log is the same one.
const PastDigests = 128

// Digest chains the records of a log: it names a position's whole past.
type Digest [DigestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Chain returns the digest after one more record.
func (d Digest) Chain(r *currantturn.Record) Digest {
	h := sha256.New()
	var n [8]byte
	number := func(v uint64) {
		binary.BigEndian.PutUint64(n[:], v)
		_, _ = h.Write(n[:])
	}
	_, _ = h.Write(d[:])
	number(r.Position)
	number(uint64(r.Time.UnixNano()))
	number(uint64(len(r.Author)))
	_, _ = h.Write([]byte(r.Author))
	_, _ = h.Write(r.Patch)
	return Digest(h.Sum(nil)[:DigestBytes])
}

// Outcome says what became of a published patch.
type Outcome string

// Outcomes of a patch.
const (
	InForce  Outcome = "in_force"
	Rejected Outcome = "rejected"
)

// Verdict is the outcome of one record, the same at every process.
type Verdict struct {
	Position uint64              `cbor:"position" json:"position"`
	Version  currantturn.Version `cbor:"version" json:"version"` // in force after the record
	Outcome  Outcome             `cbor:"outcome" json:"outcome"`
	Reasons  Reasons             `cbor:"reasons" json:"reasons,omitempty"`
}

// Err returns the reasons of a rejection as one error, or nil.
func (v Verdict) Err() error {
	if v.Outcome == InForce {
		return nil
	}
	return v.Reasons
}

// Configuration is the state of the fold at a position; it is never changed.
// The zero value is the empty configuration before the first record.
type Configuration struct {
	Position uint64
	Version  currantturn.Version
	Digest   Digest
	Past     []Digest              // of the positions before, the newest last; at most PastDigests
	Services []currantturn.Service // sorted by name, shared between configurations
}

// DigestAt returns the digest of a position, if it is known.
func (c *Configuration) DigestAt(position uint64) (Digest, bool) {
	switch back := c.Position - position; {
	case position > c.Position:
		return Digest{}, false
	case back == 0:
		return c.Digest, true
	case position == 0:
		return Digest{}, true
	case back <= uint64(len(c.Past)):
		return c.Past[uint64(len(c.Past))-back], true
	}
	return Digest{}, false
}

// Follows says whether the configuration continues another one, as far as its
// known past tells.
func (c *Configuration) Follows(before *Configuration) bool {
	d, known := c.DigestAt(before.Position)
	return !known || d == before.Digest
}

// View indexes the configuration for the machines.
func (c *Configuration) View() *currantturn.View {
	services := make([]currantturn.Service, len(c.Services))
	copy(services, c.Services)
	return currantturn.NewView(c.Version, services)
}

// Next folds one record; it reports ErrPosition unless the record follows.
func (c *Configuration) Next(r *currantturn.Record) (*Configuration, Verdict, error) {
	if r.Position != c.Position+1 {
		return nil, Verdict{}, eris.Wrapf(ErrPosition, "position %d after %d", r.Position, c.Position)
	}
	next := &Configuration{
		Position: r.Position, Version: c.Version, Digest: c.Digest.Chain(r), Services: c.Services,
		Past: append(slices.Clone(c.Past[max(0, len(c.Past)-PastDigests+1):]), c.Digest),
	}
	services, rs := apply(c, r.Patch)
	v := Verdict{Position: r.Position, Version: c.Version, Outcome: Rejected, Reasons: rs}
	if len(rs) == 0 {
		next.Version++
		next.Services = services
		v.Version = next.Version
		v.Outcome = InForce
	}
	return next, v, nil
}

// apply returns the services after a patch, or every reason against it.
func apply(c *Configuration, p []byte) ([]currantturn.Service, Reasons) {
	in, rs := Decode(p)
	if len(rs) > 0 {
		return nil, rs
	}
	if in.BuildsOn != c.Version {
		return nil, whole(CodeConflict, "builds_on", "patch builds on version %d, version %d is in force", in.BuildsOn, c.Version)
	}
	e := newEditor(c.Services)
	for i, op := range in.Operations {
		e.operation = i
		op.apply(e)
	}
	e.finish()
	return e.services, e.reasons
}

// Check returns the verdict that a patch would get on a configuration, and
// what it would change.
func Check(base *Configuration, p []byte) (Verdict, Diff) {
	services, rs := apply(base, p)
	v := Verdict{Position: base.Position + 1, Version: base.Version, Outcome: Rejected, Reasons: rs}
	if len(rs) > 0 {
		return v, nil
	}
	v.Outcome = InForce
	v.Version++
	return v, Compare(base.Services, services)
}
