package request

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome is what a caller is told about its request.
type Outcome string

// Outcomes of a request.
const (
	// Answered marks the backend server's own answer.
	Answered Outcome = "answered"
	// AnswerNotKept says that the request ran and its answer was too large to keep.
	AnswerNotKept Outcome = "answer_not_kept"
	// NotRun says that the request never ran and never will under this key.
	NotRun Outcome = "not_run"
	// PastDeadline says the same as NotRun, because the deadline passed first.
	PastDeadline Outcome = "past_deadline"
	// NotAccepted says that this attempt started nothing and that nothing is
	// known of other attempts: a caller whose every attempt was told so may
	// take a new key.
	NotAccepted Outcome = "not_accepted"
	// Unknown says that the request may or may not have run.
	Unknown Outcome = "outcome_unknown"
	// TooOld says that the key's record is past its retention.
	TooOld Outcome = "too_old"
	// KeyReused says that the key came earlier with other content.
	KeyReused Outcome = "key_reused"
	// Malformed says that the request's headers do not decode; it was not run.
	Malformed Outcome = "malformed"
)

var statuses = map[Outcome]int{
	AnswerNotKept: http.StatusConflict,
	NotRun:        http.StatusServiceUnavailable,
	NotAccepted:   http.StatusMisdirectedRequest,
	PastDeadline:  http.StatusGatewayTimeout,
	Unknown:       http.StatusBadGateway,
	TooOld:        http.StatusGone,
	KeyReused:     http.StatusUnprocessableEntity,
	Malformed:     http.StatusBadRequest,
}

// Status is the HTTP status of an outcome other than Answered.
func (o Outcome) Status() int {
	return statuses[o]
}

// Body is the machine-readable content of an outcome other than Answered.
type Body struct {
	Outcome    Outcome `json:"outcome"`
	Key        string  `json:"key,omitempty"`
	Reason     string  `json:"reason,omitempty"`
	RetryAfter int     `json:"retry_after_seconds,omitempty"`
}

// Write tells a caller an outcome; a retryAfter of zero gives no advice.
func Write(w http.ResponseWriter, o Outcome, key, reason string, retryAfter time.Duration) {
	b := Body{Outcome: o, Key: key, Reason: reason, RetryAfter: seconds(retryAfter)}
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set("Content-Type", "application/json")
	if b.RetryAfter > 0 {
		w.Header().Set(HeaderRetryAfter, strconv.Itoa(b.RetryAfter))
	}
	w.WriteHeader(o.Status())
	_ = json.NewEncoder(w).Encode(b)
}

func seconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int((max(d, MinRetryAfter) + time.Second - 1) / time.Second)
}

// Answer is a backend server's answer as a record keeps it.
type Answer struct {
	Status int         `cbor:"status"`
	Header [][2]string `cbor:"header,omitempty"`
	Length int64       `cbor:"length"`
	Digest Digest      `cbor:"digest"`
	Body   []byte      `cbor:"body,omitempty"`
	Kept   bool        `cbor:"kept"`
}

// Digest is the truncated SHA-256 of a request or an answer.
type Digest [16]byte
