package process

import (
	"sync"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
	"github.com/currantturn/currantturn/internal/event"
	"github.com/currantturn/currantturn/internal/state/configuration"
	"github.com/currantturn/currantturn/pkg/patch"
)

// auditor copies each record of the configuration log to the audit trail once.
type auditor struct {
	trail            *audit.Trail
	configurationLog func() *configuration.Log // set once after the role has started; nil until then
	mu               sync.Mutex
	lastPosition     uint64 // of the newest record copied
}

// handleEvent copies new records after an event that reports a new record.
func (a *auditor) handleEvent(now time.Time, e currantturn.Event) {
	if e.Number == event.PatchAccepted || e.Number == event.PatchRejected {
		a.writeNewRecords(now)
	}
}

func (a *auditor) writeNewRecords(now time.Time) {
	if a.configurationLog == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range a.configurationLog().Entries() {
		if entry.Record.Position <= a.lastPosition {
			continue
		}
		a.lastPosition = entry.Record.Position
		a.trail.RecordSeen(now, &entry.Record)
		a.trail.RecordVerdict(now, evaluationOf(&entry))
	}
}

// evaluationOf returns the verdict on a log entry in the form of the audit trail.
func evaluationOf(e *configuration.Entry) *audit.Evaluation {
	result := &audit.Evaluation{Position: e.Record.Position, Digest: e.Digest.String()}
	if e.Verdict.Outcome == patch.InForce {
		result.Accepted = true
		result.Version = e.Verdict.Version
		return result
	}
	result.Reason = e.Verdict.Err().Error()
	return result
}

// handleInForce marks the records up to the version of v as in force.
func (a *auditor) handleInForce(now time.Time, v *currantturn.View) {
	a.writeNewRecords(now)
	a.trail.RecordInForce(now, v.Version)
}
