package admin

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
)

// Status is a summary of the state of one process.
type Status struct {
	Name          string                    `json:"name"`
	Role          currantturn.Role          `json:"role"`
	FailureDomain currantturn.FailureDomain `json:"failure_domain"`
	Release       string                    `json:"release"`
	Started       time.Time                 `json:"started"`
	Uptime        time.Duration             `json:"uptime_ns"`
	Serving       bool                      `json:"serving"` // accepts new work
	Stopping      bool                      `json:"stopping"`
	Configuration ConfigurationStatus       `json:"configuration"`
	Members       map[string]int            `json:"members"` // number of members by state
	Flows         int                       `json:"flows"`
	Requests      *Requests                 `json:"requests,omitempty"` // only of an agent
}

// ConfigurationStatus describes the version of the configuration that is in force in
// the process.
type ConfigurationStatus struct {
	Version         currantturn.Version `json:"version"`
	Position        uint64              `json:"position"`       // of the newest record applied in the process
	HighestPosition uint64              `json:"heard_position"` // highest position reported by a peer or the platform
	Digest          string              `json:"digest"`
	InForce         time.Time           `json:"in_force,omitzero"`
	LastRead        time.Time           `json:"last_read,omitzero"` // time of the last read from the platform or of records from a peer
}

// Requests counts the slots, requests and claim records of an agent.
type Requests struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Records int `json:"records"`
}

// Verdict is the verdict on one published record.
type Verdict struct {
	Position  uint64              `json:"position"`
	Author    string              `json:"author"`
	Published time.Time           `json:"published"`
	Verdict   audit.Verdict       `json:"verdict"`
	Reason    string              `json:"reason,omitempty"`
	Version   currantturn.Version `json:"version,omitempty"`
}

// Member is one process in the membership list.
type Member struct {
	Name          string                    `json:"name"`
	Role          currantturn.Role          `json:"role"`
	FailureDomain currantturn.FailureDomain `json:"failure_domain"`
	Link          netip.AddrPort            `json:"link"`
	State         string                    `json:"state"`
	Incarnation   uint64                    `json:"incarnation"`
	Since         time.Time                 `json:"since,omitzero"`
}

// BackendFlows counts the flows of one backend server that are known to the
// process.
type BackendFlows struct {
	Service currantturn.ServiceName `json:"service"`
	Backend currantturn.BackendID   `json:"backend"`
	Flows   int                     `json:"flows"`
}

// Providers supply the resources of the API. A request for a resource whose
// provider is nil gets status 501.
type Providers struct {
	Status   func() Status
	Verdicts func(limit int) []Verdict
	Members  func(limit int) []Member
	Flows    func(limit int) []BackendFlows
	Audit    func(limit int) []audit.Entry
	DryRun   func(ctx context.Context, against currantturn.Version, patch []byte) (DryRun, error)
	Metrics  http.Handler
}
