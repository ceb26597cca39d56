package configuration

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/netip"
	"slices"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/pkg/patch"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// snapshotFormat is the format number of the encoding below.
const snapshotFormat = 1

// snapshotWire is the CBOR encoding of a configuration.
type snapshotWire struct {
	_        struct{} `cbor:",toarray"`
	Format   int
	Position uint64
	Version  currantturn.Version
	Digest   []byte
	Past     []byte // the concatenated earlier digests, the newest last
	Services []serviceWire
}

// serviceWire is the CBOR encoding of a service.
type serviceWire struct {
	_         struct{} `cbor:",toarray"`
	Name      currantturn.ServiceName
	Addresses [][]byte
	Limits    [4]int // flows per caller, flows per backend server, queue per backend server, request body bytes
	Backends  []backendWire
}

// backendWire is the CBOR encoding of a backend server.
type backendWire struct {
	_        struct{} `cbor:",toarray"`
	ID       currantturn.BackendID
	Domain   currantturn.FailureDomain
	Agent    []byte
	Stream   []byte
	Slots    int
	Weight   int
	Draining bool
}

// EncodeSnapshot returns the published encoding of a configuration: gzip over
// CBOR. Equal configurations have equal encodings. It returns ErrTooLarge above
// MaxSnapshotBytes.
func EncodeSnapshot(c *patch.Configuration) ([]byte, error) {
	uncompressed, err := encodeUncompressed(c)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	if _, err := w.Write(uncompressed); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress snapshot")
	}
	if b.Len() > MaxSnapshotBytes {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "snapshot of %d bytes", b.Len())
	}
	return b.Bytes(), nil
}

// encodeUncompressed encodes a configuration as CBOR, before compression.
func encodeUncompressed(c *patch.Configuration) ([]byte, error) {
	out := snapshotWire{Format: snapshotFormat, Position: c.Position, Version: c.Version, Digest: c.Digest[:]}
	for _, d := range c.Past {
		out.Past = append(out.Past, d[:]...)
	}
	for i := range c.Services {
		s, err := encodeService(&c.Services[i])
		if err != nil {
			return nil, err
		}
		out.Services = append(out.Services, s)
	}
	p, err := cbor.Marshal(out)
	return p, eris.Wrap(err, "encode snapshot")
}

func encodeService(s *currantturn.Service) (serviceWire, error) {
	l := s.Limits
	out := serviceWire{
		Name:   s.Name,
		Limits: [4]int{l.FlowsPerCaller, l.FlowsPerBackend, l.QueuePerBackend, l.RequestBodyBytes},
	}
	for _, a := range s.Addresses {
		p, err := a.MarshalBinary()
		if err != nil {
			return out, eris.Wrap(err, "encode address")
		}
		out.Addresses = append(out.Addresses, p)
	}
	for i := range s.Backends {
		b := &s.Backends[i]
		agent, err := b.Agent.MarshalBinary()
		if err != nil {
			return out, eris.Wrap(err, "encode address")
		}
		stream, err := b.Stream.MarshalBinary()
		if err != nil {
			return out, eris.Wrap(err, "encode address")
		}
		out.Backends = append(out.Backends, backendWire{
			ID: b.ID, Domain: b.FailureDomain, Agent: agent, Stream: stream,
			Slots: b.Slots, Weight: b.Weight, Draining: b.State == currantturn.BackendDraining,
		})
	}
	return out, nil
}

var snapshotDecoder = mustSnapshotDecoder()

// mustSnapshotDecoder returns a CBOR decoder that refuses arrays of more than
// patch.MaxBackendServers elements.
func mustSnapshotDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: patch.MaxBackendServers}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// DecodeSnapshot decodes a published snapshot. It returns ErrTooLarge above
// MaxSnapshotBytes and ErrMalformed for anything else that is not a valid
// snapshot.
func DecodeSnapshot(p []byte) (*patch.Configuration, error) {
	if len(p) > MaxSnapshotBytes {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "snapshot of %d bytes", len(p))
	}
	uncompressed, err := decompress(p)
	if err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	var in snapshotWire
	if err := snapshotDecoder.Unmarshal(uncompressed, &in); err != nil {
		return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
	}
	c, err := decodeHeader(&in)
	if err != nil {
		return nil, err
	}
	for i := range in.Services {
		s, err := decodeService(&in.Services[i])
		if err != nil {
			return nil, eris.Wrap(currantturn.ErrMalformed, err.Error())
		}
		c.Services = append(c.Services, s)
	}
	if !slices.IsSortedFunc(c.Services, func(a, b currantturn.Service) int { return compareStrictly(a.Name, b.Name) }) {
		return nil, eris.Wrap(currantturn.ErrMalformed, "service names not in strictly increasing order")
	}
	return c, nil
}

// decodeHeader checks and decodes everything except the services.
func decodeHeader(in *snapshotWire) (*patch.Configuration, error) {
	pastDigests := len(in.Past) / patch.DigestBytes
	valid := in.Format == snapshotFormat && len(in.Digest) == patch.DigestBytes && uint64(in.Version) <= in.Position &&
		len(in.Past)%patch.DigestBytes == 0 && pastDigests <= patch.PastDigests && uint64(pastDigests) <= in.Position
	if !valid {
		return nil, eris.Wrap(currantturn.ErrMalformed, "invalid snapshot header")
	}
	c := &patch.Configuration{Position: in.Position, Version: in.Version, Digest: patch.Digest(in.Digest)}
	for d := range slices.Chunk(in.Past, patch.DigestBytes) {
		c.Past = append(c.Past, patch.Digest(d))
	}
	return c, nil
}

// decompress returns the CBOR of a snapshot, or an error if it is larger than
// maxUncompressedBytes.
func decompress(p []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(p))
	if err != nil {
		return nil, err
	}
	uncompressed, err := io.ReadAll(io.LimitReader(r, maxUncompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(uncompressed) > maxUncompressedBytes {
		return nil, errors.New("uncompressed snapshot is too large")
	}
	return uncompressed, nil
}

func decodeService(in *serviceWire) (currantturn.Service, error) {
	s := currantturn.Service{Name: in.Name}
	s.Limits.FlowsPerCaller = in.Limits[0]
	s.Limits.FlowsPerBackend = in.Limits[1]
	s.Limits.QueuePerBackend = in.Limits[2]
	s.Limits.RequestBodyBytes = in.Limits[3]
	for _, p := range in.Addresses {
		s.Addresses = append(s.Addresses, netip.AddrPort{})
		if err := s.Addresses[len(s.Addresses)-1].UnmarshalBinary(p); err != nil {
			return s, err
		}
	}
	if len(in.Backends) > 0 {
		s.Backends = make([]currantturn.BackendServer, len(in.Backends))
	}
	for i := range in.Backends {
		if err := decodeBackend(&in.Backends[i], &s.Backends[i]); err != nil {
			return s, err
		}
	}
	if !slices.IsSortedFunc(s.Backends, func(a, b currantturn.BackendServer) int { return compareStrictly(a.ID, b.ID) }) {
		return s, errors.New("backend server IDs not in strictly increasing order")
	}
	return s, nil
}

func decodeBackend(in *backendWire, b *currantturn.BackendServer) error {
	b.ID = in.ID
	b.FailureDomain = in.Domain
	b.Slots = in.Slots
	b.Weight = in.Weight
	b.State = currantturn.BackendActive
	if in.Draining {
		b.State = currantturn.BackendDraining
	}
	if err := b.Agent.UnmarshalBinary(in.Agent); err != nil {
		return err
	}
	return b.Stream.UnmarshalBinary(in.Stream)
}

// compareStrictly makes slices.IsSortedFunc require strictly increasing names:
// it treats equal names as out of order.
func compareStrictly[T ~string](a, b T) int {
	if a <= b {
		return -1
	}
	return 1
}
