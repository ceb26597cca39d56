package roster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
)

// Digest returns a digest of the registrations that the store has, which is the same at
// every balancer: those that may have lapsed or are gone don't count, nor does what changes
// without an event of the store.
func (r *Roster) Digest() uint64 {
	return r.digest
}

// account updates the digest after a change of a backend server's entry.
func (r *Roster) account(id currantturn.BackendID) {
	e := r.entries[id]
	_, pending := r.pendingUntil[id]
	present := uint64(0)
	if e != nil && e.Gone.IsZero() && !pending {
		present = e.hash()
	}
	r.digest += present - r.counted[id]
	if present == 0 {
		delete(r.counted, id)
	} else {
		r.counted[id] = present
	}
}

// hash returns a hash of what a registration says of where flows may go.
func (e *Entry) hash() uint64 {
	h := xxhash.New()
	for _, text := range []string{string(e.ID), string(e.Service), e.Address.String(), string(e.FailureDomain), string(e.State)} {
		_, _ = h.WriteString(text) // a hash returns no error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(e.StartedAt.UnixMilli())))
	return h.Sum64()
}
