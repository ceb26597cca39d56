package claim

import (
	"net/netip"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/protocol/message"
	"github.com/currantturn/currantturn/internal/protocol/request"
)

// Kinds are the message kinds that a Claims machine handles.
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

// State is what is known about a key.
type State string

// States of a key, in verdicts and reports.
const (
	Granted  State = "granted"         // this attempt may run
	Pending  State = "pending"         // another attempt has the grant
	Answered State = "answered"        // ran, with the answer
	NotRun   State = "not_run"         // closed; never ran and never will
	Unknown  State = "outcome_unknown" // may or may not have run
	TooOld   State = "too_old"         // past retention
	Reused   State = "key_reused"      // came earlier with other content
	Early    State = "issued_ahead"    // issued ahead of the owner's clock
	Asking   State = "asking"          // the owner waits for earlier owners
	Silent   State = "owner_silent"    // the owner was not asked, because it is silent
	NotOwner State = "not_owner"       // the receiver's configuration names another owner
	Absent   State = "absent"          // never granted here, and now fenced
	Refused  State = "refused"         // never granted here and never will be
)

// Attempt identifies one attempt at a key; Runner is its link address.
type Attempt struct {
	Runner      netip.AddrPort `cbor:"runner"`
	Incarnation uint64         `cbor:"incarnation"`
	Number      uint64         `cbor:"number"`
}

// Begin asks the owner to grant a key, or, with Close, to close it unless it
// was granted.
type Begin struct {
	Key     request.Key         `cbor:"key"`
	Digest  request.Digest      `cbor:"digest"`
	Version currantturn.Version `cbor:"version"`
	Attempt Attempt             `cbor:"attempt"`
	Close   bool                `cbor:"close,omitempty"`
}

// Verdict answers a Begin.
type Verdict struct {
	Key     request.Key         `cbor:"key"`
	Attempt Attempt             `cbor:"attempt"`
	State   State               `cbor:"state"`
	Version currantturn.Version `cbor:"version"`
	Answer  *request.Answer     `cbor:"answer,omitempty"`
}

// Report tells the owner how a granted attempt ended.
type Report struct {
	Key     request.Key     `cbor:"key"`
	Digest  request.Digest  `cbor:"digest"`
	Attempt Attempt         `cbor:"attempt"`
	State   State           `cbor:"state"`
	Answer  *request.Answer `cbor:"answer,omitempty"`
}

// ReportAck ends the repetition of a Report.
type ReportAck struct {
	Key     request.Key `cbor:"key"`
	Attempt Attempt     `cbor:"attempt"`
}

// Probe asks a runner whether a granted attempt still runs.
type Probe struct {
	Key     request.Key `cbor:"key"`
	Attempt Attempt     `cbor:"attempt"`
}

// Running answers a Probe of an attempt that has not ended.
type Running struct {
	Key     request.Key `cbor:"key"`
	Attempt Attempt     `cbor:"attempt"`
}

// Inquire asks an earlier owner about a key and fences it below Version.
type Inquire struct {
	Key     request.Key         `cbor:"key"`
	Version currantturn.Version `cbor:"version"`
}

// Inquired answers an Inquire.
type Inquired struct {
	Key     request.Key         `cbor:"key"`
	Version currantturn.Version `cbor:"version"`
	State   State               `cbor:"state"`
	Digest  request.Digest      `cbor:"digest"`
	Answer  *request.Answer     `cbor:"answer,omitempty"`
}

// Kind names the message type.
func (Begin) Kind() currantturn.Kind { return "claim_begin" }

// Kind names the message type.
func (Verdict) Kind() currantturn.Kind { return "claim_verdict" }

// Kind names the message type.
func (Report) Kind() currantturn.Kind { return "claim_report" }

// Kind names the message type.
func (ReportAck) Kind() currantturn.Kind { return "claim_report_ack" }

// Kind names the message type.
func (Probe) Kind() currantturn.Kind { return "claim_probe" }

// Kind names the message type.
func (Running) Kind() currantturn.Kind { return "claim_running" }

// Kind names the message type.
func (Inquire) Kind() currantturn.Kind { return "claim_inquire" }

// Kind names the message type.
func (Inquired) Kind() currantturn.Kind { return "claim_inquired" }
