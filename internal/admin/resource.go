package admin

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
)

// Status is the state of one process at a glance.
type Status struct {
	Name          string                    `json:"name"`
	Role          currantturn.Role          `json:"role"`
	FailureDomain currantturn.FailureDomain `json:"failure_domain"`
	Release       string                    `json:"release"`
	Started       time.Time                 `json:"started"`
	Uptime        time.Duration             `json:"uptime_ns"`
	Serving       bool                      `json:"serving"` // takes new work
	Stopping      bool                      `json:"stopping"`
	Configuration Configuration             `json:"configuration"`
	Members       map[string]int            `json:"members"` // by state
	Flows         int                       `json:"flows"`
	Requests      *Requests                 `json:"requests,omitempty"` // at an agent
}

// Configuration says which version is in force here.
type Configuration struct {
	Version       currantturn.Version `json:"version"`
	Position      uint64              `json:"position"`       // of the newest record folded here
	HeardPosition uint64              `json:"heard_position"` // highest that anyone told of
	Digest        string              `json:"digest"`
	InForce       time.Time           `json:"in_force,omitzero"`
	LastRead      time.Time           `json:"last_read,omitzero"` // of the platform, or of a peer's records
}

// Requests is the work of an agent.
type Requests struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Records int `json:"records"`
}

// Verdict is the outcome of one published record.
type Verdict struct {
	Position  uint64              `json:"position"`
	Author    string              `json:"author"`
	Published time.Time           `json:"published"`
	Verdict   audit.Verdict       `json:"verdict"`
	Reason    string              `json:"reason,omitempty"`
	Version   currantturn.Version `json:"version,omitempty"`
}

// Member is one process that this one knows.
type Member struct {
	Name          string                    `json:"name"`
	Role          currantturn.Role          `json:"role"`
	FailureDomain currantturn.FailureDomain `json:"failure_domain"`
	Link          netip.AddrPort            `json:"link"`
	State         string                    `json:"state"`
	Incarnation   uint64                    `json:"incarnation"`
	Since         time.Time                 `json:"since,omitzero"`
}

// BackendFlows counts the flows that this process knows at one backend server.
type BackendFlows struct {
	Service currantturn.ServiceName `json:"service"`
	Backend currantturn.BackendID   `json:"backend"`
	Flows   int                     `json:"flows"`
}

// Providers read the state of the process; a nil one is answered by 501.
type Providers struct {
	Status   func() Status
	Verdicts func(limit int) []Verdict
	Members  func(limit int) []Member
	Flows    func(limit int) []BackendFlows
	Audit    func(limit int) []audit.Entry
	DryRun   func(ctx context.Context, against currantturn.Version, patch []byte) (DryRun, error)
	Metrics  http.Handler
}
