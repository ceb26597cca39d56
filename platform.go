package currantturn

import (
	"context"
	"net/netip"
	"time"
)

// Record is one entry of the published configuration log.
type Record struct {
	Position uint64    `cbor:"position" json:"position"`
	Author   string    `cbor:"author" json:"author"`
	Time     time.Time `cbor:"time" json:"time"`
	Patch    []byte    `cbor:"patch" json:"patch"` // published JSON
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs, which lags behind their state.
type VM struct {
	Name          VMName         `cbor:"name" json:"name"`
	Role          Role           `cbor:"role" json:"role"`
	FailureDomain FailureDomain  `cbor:"failure_domain" json:"failure_domain"`
	Link          netip.AddrPort `cbor:"link" json:"link"`
	State         VMState        `cbor:"state" json:"state"`
}

// Platform reads what the platform publishes; each call counts against the
// platform's read rate.
type Platform interface {
	// Snapshot returns the newest published snapshot, encoded.
	Snapshot(ctx context.Context) ([]byte, error)
	// Watch returns the records after a position. If there are none, it waits up to
	// wait for one.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Record, error)
	// VMs returns the list of VMs, which lags behind.
	VMs(ctx context.Context) ([]VM, error)
}
