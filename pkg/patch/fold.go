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

// PastDigests is the maximum number of earlier digests in a configuration. They show
// whether a configuration of an earlier position comes from the same log.
const PastDigests = 128

// Digest is a hash over all records of a log up to a position; each one includes the
// digest of the position before.
type Digest [DigestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// Chain returns the digest after the record r, which follows d.
func (d Digest) Chain(r *currantturn.Record) Digest {
	h := sha256.New()
	var buf [8]byte
	writeUint64 := func(v uint64) {
		binary.BigEndian.PutUint64(buf[:], v)
		_, _ = h.Write(buf[:])
	}
	_, _ = h.Write(d[:])
	writeUint64(r.Position)
	writeUint64(uint64(r.Time.UnixNano()))
	writeUint64(uint64(len(r.Author)))
	_, _ = h.Write([]byte(r.Author))
	_, _ = h.Write(r.Patch)
	return Digest(h.Sum(nil)[:DigestBytes])
}

// Outcome says whether a published patch was accepted.
type Outcome string

// Outcomes of a patch.
const (
	InForce  Outcome = "in_force"
	Rejected Outcome = "rejected"
)

// Verdict is the outcome of one record; it is the same at every process.
type Verdict struct {
	Position uint64              `cbor:"position" json:"position"`
	Version  currantturn.Version `cbor:"version" json:"version"` // version in force after the record
	Outcome  Outcome             `cbor:"outcome" json:"outcome"`
	Reasons  Reasons             `cbor:"reasons" json:"reasons,omitempty"`
}

// Err returns the reasons of a rejection as one error, or nil if the patch is in
// force.
func (v Verdict) Err() error {
	if v.Outcome == InForce {
		return nil
	}
	return v.Reasons
}

// Configuration is the result of all records up to a position. It is immutable. The
// zero value is the empty configuration before the first record.
type Configuration struct {
	Position uint64
	Version  currantturn.Version
	Digest   Digest
	Past     []Digest              // of the preceding positions, the newest last; at most PastDigests
	Services []currantturn.Service // sorted by name, shared between configurations
}

// DigestAt returns the digest of a position and whether the configuration has it.
func (c *Configuration) DigestAt(position uint64) (Digest, bool) {
	switch distance := c.Position - position; {
	case position > c.Position:
		return Digest{}, false
	case distance == 0:
		return c.Digest, true
	case position == 0:
		return Digest{}, true
	case distance <= uint64(len(c.Past)):
		return c.Past[uint64(len(c.Past))-distance], true
	}
	return Digest{}, false
}

// Follows reports whether the configuration can come from the same log as an earlier
// one: both have the same digest of the earlier position, or this one does not have it.
func (c *Configuration) Follows(before *Configuration) bool {
	d, known := c.DigestAt(before.Position)
	return !known || d == before.Digest
}

// View returns the services as an indexed view, for look-ups by name and address.
func (c *Configuration) View() *currantturn.View {
	services := make([]currantturn.Service, len(c.Services))
	copy(services, c.Services)
	return currantturn.NewView(c.Version, services)
}

// Next returns the configuration after one more record and the verdict on it. It
// returns ErrPosition unless the record has the next position.
func (c *Configuration) Next(r *currantturn.Record) (*Configuration, Verdict, error) {
	if r.Position != c.Position+1 {
		return nil, Verdict{}, eris.Wrapf(ErrPosition, "position %d after %d", r.Position, c.Position)
	}
	next := &Configuration{
		Position: r.Position, Version: c.Version, Digest: c.Digest.Chain(r), Services: c.Services,
		Past: append(slices.Clone(c.Past[max(0, len(c.Past)-PastDigests+1):]), c.Digest),
	}
	services, rs := applyPatch(c, r.Patch)
	v := Verdict{Position: r.Position, Version: c.Version, Outcome: Rejected, Reasons: rs}
	if len(rs) == 0 {
		next.Version++
		next.Services = services
		v.Version = next.Version
		v.Outcome = InForce
	}
	return next, v, nil
}

// applyPatch returns the services after a patch, or all reasons to reject it.
func applyPatch(c *Configuration, p []byte) ([]currantturn.Service, Reasons) {
	in, rs := Decode(p)
	if len(rs) > 0 {
		return nil, rs
	}
	if in.BuildsOn != c.Version {
		return nil, wholePatchReasons(CodeConflict, "builds_on", "patch builds on version %d, version %d is in force", in.BuildsOn, c.Version)
	}
	e := newEditor(c.Services)
	for i, op := range in.Operations {
		e.operationIndex = i
		op.apply(e)
	}
	e.checkResult()
	return e.services, e.reasons
}

// Check returns the verdict that a patch would get as the next record after base, and
// the changes that it would make.
func Check(base *Configuration, p []byte) (Verdict, Diff) {
	services, rs := applyPatch(base, p)
	v := Verdict{Position: base.Position + 1, Version: base.Version, Outcome: Rejected, Reasons: rs}
	if len(rs) > 0 {
		return v, nil
	}
	v.Outcome = InForce
	v.Version++
	return v, Compare(base.Services, services)
}
