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
	trail *audit.Trail
	log   func() *configuration.Log // set once, before the process reads anything
	mu    sync.Mutex
	last  uint64 // position of the newest record written
}

// follow looks at the log after events that say that it grew.
func (a *auditor) follow(now time.Time, e currantturn.Event) {
	if e.Number == event.PatchAccepted || e.Number == event.PatchRejected {
		a.write(now)
	}
}

func (a *auditor) write(now time.Time) {
	if a.log == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, entry := range a.log().Entries() {
		if entry.Record.Position <= a.last {
			continue
		}
		a.last = entry.Record.Position
		a.trail.Seen(now, &entry.Record)
		a.trail.Judged(now, judgement(&entry))
	}
}

func judgement(e *configuration.Entry) *audit.Judgement {
	j := &audit.Judgement{Position: e.Record.Position, Digest: e.Digest.String()}
	if e.Verdict.Outcome == patch.InForce {
		j.Accepted = true
		j.Version = e.Verdict.Version
		return j
	}
	j.Reason = e.Verdict.Err().Error()
	return j
}

func (a *auditor) inForce(now time.Time, v *currantturn.View) {
	a.write(now)
	a.trail.InForce(now, v.Version)
}
