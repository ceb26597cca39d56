package claim

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// Kinds are the message kinds handled by a Claims machine.
var Kinds = []currantturn.Kind{
	Begin{}.Kind(), Verdict{}.Kind(), Report{}.Kind(), ReportAck{}.Kind(),
	Probe{}.Kind(), Running{}.Kind(), Inquire{}.Kind(), Inquired{}.Kind(),
}

func init() {
	message.Register[Begin]()
	message.Register[Verdict]()
	message.Register[Report]()
	message.Register[ReportAck]()
	message.Register[Probe]()
	message.Register[Running]()
	message.Register[Inquire]()
	message.Register[Inquired]()
}

// State is the state of a key or attempt as sent in messages.
type State string

// States in verdicts, reports and replies to inquiries. Each comment gives the
// meaning for the receiver.
const (
	Granted     State = "granted"         // this attempt may run the request
	Pending     State = "pending"         // another attempt holds the grant
	Answered    State = "answered"        // the request ran; the answer is attached
	NotRun      State = "not_run"         // the key is closed: its request never ran and never will
	Unknown     State = "outcome_unknown" // the request may or may not have run
	TooOld      State = "too_old"         // the key is past its retention
	KeyReused   State = "key_reused"      // the key was used earlier for a different request
	IssuedAhead State = "issued_ahead"    // the key's issue time is ahead of the owner's clock
	Inquiring   State = "asking"          // the owner waits for replies of earlier owners
	OwnerSilent State = "owner_silent"    // an owner that must reply is suspected or unknown, or the runner is full
	NotOwner    State = "not_owner"       // the replying process does not own the key, or a newer owner has fenced it there
	Absent      State = "absent"          // the earlier owner never granted the key and is now fenced
	Refused     State = "refused"         // the earlier owner has permanently refused the key
)

// Attempt identifies one attempt to run a request; Runner is the link address of
// its process.
type Attempt struct {
	Runner      netip.AddrPort `cbor:"runner"`
	Incarnation uint64         `cbor:"incarnation"`
	Number      uint64         `cbor:"number"`
}

// Begin requests the grant of a key from its owner; with Close set, it requests
// that the key be closed unless it was granted.
type Begin struct {
	Key     request.Key         `cbor:"key"`
	Digest  request.Digest      `cbor:"digest"`
	Version currantturn.Version `cbor:"version"`
	Attempt Attempt             `cbor:"attempt"`
	Close   bool                `cbor:"close,omitempty"`
}

// Verdict is the owner's reply to a Begin; an attempt may receive several.
type Verdict struct {
	Key     request.Key         `cbor:"key"`
	Attempt Attempt             `cbor:"attempt"`
	State   State               `cbor:"state"`
	Version currantturn.Version `cbor:"version"`
	Answer  *request.Answer     `cbor:"answer,omitempty"`
}

// Report informs the owner how a granted attempt ended; it is resent until a
// ReportAck arrives.
type Report struct {
	Key     request.Key     `cbor:"key"`
	Digest  request.Digest  `cbor:"digest"`
	Attempt Attempt         `cbor:"attempt"`
	State   State           `cbor:"state"`
	Answer  *request.Answer `cbor:"answer,omitempty"`
}

// ReportAck confirms a Report.
type ReportAck struct {
	Key     request.Key `cbor:"key"`
	Attempt Attempt     `cbor:"attempt"`
}

// Probe requests the status of a granted attempt from its runner.
type Probe struct {
	Key     request.Key `cbor:"key"`
	Attempt Attempt     `cbor:"attempt"`
}

// Running is the reply to a Probe of an attempt that has not ended.
type Running struct {
	Key     request.Key `cbor:"key"`
	Attempt Attempt     `cbor:"attempt"`
}

// Inquire requests the state of a key from an earlier owner and fences it: from
// then on that owner grants the key only under a version above Version.
type Inquire struct {
	Key     request.Key         `cbor:"key"`
	Version currantturn.Version `cbor:"version"`
}

// Inquired is the reply to an Inquire.
type Inquired struct {
	Key     request.Key         `cbor:"key"`
	Version currantturn.Version `cbor:"version"`
	State   State               `cbor:"state"`
	Digest  request.Digest      `cbor:"digest"`
	Answer  *request.Answer     `cbor:"answer,omitempty"`
}

// Kind returns the message kind on the wire.
func (Begin) Kind() currantturn.Kind { return "claim_begin" }

// Kind returns the message kind on the wire.
func (Verdict) Kind() currantturn.Kind { return "claim_verdict" }

// Kind returns the message kind on the wire.
func (Report) Kind() currantturn.Kind { return "claim_report" }

// Kind returns the message kind on the wire.
func (ReportAck) Kind() currantturn.Kind { return "claim_report_ack" }

// Kind returns the message kind on the wire.
func (Probe) Kind() currantturn.Kind { return "claim_probe" }

// Kind returns the message kind on the wire.
func (Running) Kind() currantturn.Kind { return "claim_running" }

// Kind returns the message kind on the wire.
func (Inquire) Kind() currantturn.Kind { return "claim_inquire" }

// Kind returns the message kind on the wire.
func (Inquired) Kind() currantturn.Kind { return "claim_inquired" }
