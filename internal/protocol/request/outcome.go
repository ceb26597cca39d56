package request

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome is the result of a request as reported to its caller.
type Outcome string

// Outcomes of a request.
const (
	// Answered marks a response that comes from the backend server.
	Answered Outcome = "answered"
	// AnswerNotKept means that the request ran, but its response was too large
	// to store.
	AnswerNotKept Outcome = "answer_not_kept"
	// NotRun means that the request did not run and never will under this key.
	NotRun Outcome = "not_run"
	// PastDeadline means the same as NotRun, because the deadline had passed.
	PastDeadline Outcome = "past_deadline"
	// NotAccepted means that this attempt did not start the request; nothing is
	// known of other attempts. A caller that received NotAccepted for every
	// attempt may use a new key.
	NotAccepted Outcome = "not_accepted"
	// Unknown means that the request may or may not have run.
	Unknown Outcome = "outcome_unknown"
	// TooOld means that the retention period of the key's record has passed.
	TooOld Outcome = "too_old"
	// KeyReused means that an earlier request with other content used the key.
	KeyReused Outcome = "key_reused"
	// Malformed means that the request's headers or body are invalid, or that its
	// body is too large; it did not run.
	Malformed Outcome = "malformed"
)

var statusByOutcome = map[Outcome]int{
	AnswerNotKept: http.StatusConflict,
	NotRun:        http.StatusServiceUnavailable,
	NotAccepted:   http.StatusMisdirectedRequest,
	PastDeadline:  http.StatusGatewayTimeout,
	Unknown:       http.StatusBadGateway,
	TooOld:        http.StatusGone,
	KeyReused:     http.StatusUnprocessableEntity,
	Malformed:     http.StatusBadRequest,
}

// Status returns the HTTP status of an outcome other than Answered.
func (o Outcome) Status() int {
	return statusByOutcome[o]
}

// OutcomeBody is the JSON body that reports an outcome other than Answered.
type OutcomeBody struct {
	Outcome    Outcome `json:"outcome"`
	Key        string  `json:"key,omitempty"`
	Reason     string  `json:"reason,omitempty"`
	RetryAfter int     `json:"retry_after_seconds,omitempty"`
}

// WriteOutcome sends a response that reports an outcome other than Answered; a zero
// retryAfter omits HeaderRetryAfter.
func WriteOutcome(w http.ResponseWriter, o Outcome, key, reason string, retryAfter time.Duration) {
	b := OutcomeBody{Outcome: o, Key: key, Reason: reason, RetryAfter: retryAfterSeconds(retryAfter)}
	w.Header().Set(HeaderOutcome, string(o))
	w.Header().Set("Content-Type", "application/json")
	if b.RetryAfter > 0 {
		w.Header().Set(HeaderRetryAfter, strconv.Itoa(b.RetryAfter))
	}
	w.WriteHeader(o.Status())
	_ = json.NewEncoder(w).Encode(b)
}

// retryAfterSeconds rounds d up to whole seconds, at least MinRetryAfter; 0 means
// no delay is reported.
func retryAfterSeconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int((max(d, MinRetryAfter) + time.Second - 1) / time.Second)
}

// Answer is a backend server's response as it is stored in a record.
type Answer struct {
	Status   int         `cbor:"status"`
	Header   [][2]string `cbor:"header,omitempty"`
	Length   int64       `cbor:"length"`
	Digest   Digest      `cbor:"digest"`
	Body     []byte      `cbor:"body,omitempty"`
	BodyKept bool        `cbor:"kept"`
}

// Digest is the truncated SHA-256 hash of a request or a response.
type Digest [16]byte
