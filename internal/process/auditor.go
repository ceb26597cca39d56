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

// auditor writes each record of the accepted log to the audit trail once.
type auditor struct {
	trail            *audit.Trail
	configurationLog func() *configuration.Log // set once, before the process reads anything
	mu               sync.Mutex
	lastPosition     uint64 // position of the newest record written
}

// handleEvent looks at the log after events that say that it grew.
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

func evaluationOf(e *configuration.Entry) *audit.Evaluation {
	j := &audit.Evaluation{Position: e.Record.Position, Digest: e.Digest.String()}
	if e.Verdict.Outcome == patch.InForce {
		j.Accepted = true
		j.Version = e.Verdict.Version
		return j
	}
	j.Reason = e.Verdict.Err().Error()
	return j
}

func (a *auditor) handleInForce(now time.Time, v *currantturn.View) {
	a.writeNewRecords(now)
	a.trail.RecordInForce(now, v.Version)
}
