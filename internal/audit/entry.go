package audit

import (
	"time"

	"github.com/currantturn/currantturn"
)

// Verdict is the outcome of a published record.
type Verdict string

// Verdicts of a record; a record without one was seen but not yet judged.
const (
	Pending  Verdict = "pending"
	Accepted Verdict = "accepted"
	Rejected Verdict = "rejected"
)

// Step is what happened to a record.
type Step string

// Steps that the trail logs.
const (
	StepSeen    Step = "record_seen"
	StepJudged  Step = "record_judged"
	StepInForce Step = "record_in_force"
)

// Entry is what the trail knows of one published record.
type Entry struct {
	Position  uint64              `json:"position"`
	Author    string              `json:"author"`
	Published time.Time           `json:"published"`
	Seen      time.Time           `json:"seen"`
	Verdict   Verdict             `json:"verdict"`
	Reason    string              `json:"reason,omitempty"`
	Version   currantturn.Version `json:"version,omitempty"`
	Digest    string              `json:"digest,omitempty"` // of the accepted configuration, hexadecimal
	InForce   time.Time           `json:"in_force,omitzero"`
}

// Judgement is the verdict on a record.
type Judgement struct {
	Position uint64
	Accepted bool
	Reason   string
	Version  currantturn.Version // zero for a rejected record
	Digest   string
}
