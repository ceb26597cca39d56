package currantturn

import "fmt"

// Position is a position in the history of the store.
type Position struct {
	// Era rises each time the store returns from a copy, after which it gives out
	// revisions again; 0 if it is unknown.
	Era      uint64 `cbor:"20,keyasint,omitempty"`
	Revision uint64 `cbor:"1,keyasint"`
}

// After reports whether p is later than q. If an era is unknown, the revisions decide.
func (p Position) After(q Position) bool {
	if p.Era != q.Era && p.Era != 0 && q.Era != 0 {
		return p.Era > q.Era
	}
	return p.Revision > q.Revision
}

// String returns the position as era/revision.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Era, p.Revision)
}
