package audit

import (
	"time"

	"github.com/currantturn/currantturn"
)

// Verdict is the outcome of a published record.
type Verdict string

// Verdicts of a record; Pending means received but not yet evaluated.
const (
	Pending  Verdict = "pending"
	Accepted Verdict = "accepted"
	Rejected Verdict = "rejected"
)

// Step is a stage in the processing of a record.
type Step string

// Steps that the trail writes as lines.
const (
	StepSeen    Step = "record_seen"
	StepJudged  Step = "record_judged"
	StepInForce Step = "record_in_force"
)

// Entry is the history of one published record in this process.
type Entry struct {
	Position  uint64              `json:"position"`
	Author    string              `json:"author"`
	Published time.Time           `json:"published"`
	Seen      time.Time           `json:"seen"`
	Verdict   Verdict             `json:"verdict"`
	Reason    string              `json:"reason,omitempty"`
	Version   currantturn.Version `json:"version,omitempty"`
	Digest    string              `json:"digest,omitempty"` // of the accepted configuration, in hexadecimal
	InForce   time.Time           `json:"in_force,omitzero"`
}

// Evaluation is the result of evaluating a record.
type Evaluation struct {
	Position uint64
	Accepted bool
	Reason   string
	Version  currantturn.Version // zero for a rejected record
	Digest   string
}
