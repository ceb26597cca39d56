package try

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// ServicePlan describes one service of a deployment.
type ServicePlan struct {
	Name     currantturn.ServiceName
	Backends int
	Slots    int
	Work     time.Duration // time that one request takes in a slot
	Load     float64       // offered work as a fraction of all slots
	Watches  int           // callers that hold a watch open
	Blob     int           // bytes of a large answer; 0 means none are asked for
}

// Deployment describes one of the users' sites by its sizes of today.
type Deployment struct {
	Name      string
	Domains   []currantturn.FailureDomain
	Balancers int
	Between   time.Duration // one way, between failure domains
	Callers   time.Duration // one way, between callers and balancers
	Services  []ServicePlan
}

// ErrUnknownDeployment reports a deployment name that is not one of Names.
var ErrUnknownDeployment = eris.New("unknown deployment")

// Names are the deployments that Find knows.
func Names() []string {
	return []string{"authority", "polepa"}
}

// Find returns a deployment by its name.
func Find(name string) (Deployment, error) {
	switch name {
	case "authority":
		return authoritySite(), nil
	case "polepa":
		return polepaSite(), nil
	}
	return Deployment{}, eris.Wrapf(ErrUnknownDeployment, "%q", name)
}

func authoritySite() Deployment {
	return Deployment{
		Name:      "authority",
		Domains:   []currantturn.FailureDomain{"kivukoni", "upanga", "kurasini", "mikocheni"},
		Balancers: 4,
		Between:   1500 * time.Microsecond,
		Callers:   time.Millisecond,
		Services: []ServicePlan{
			{Name: "verify", Backends: 7, Slots: 3, Work: 60 * time.Millisecond, Load: 0.6, Watches: 60},
			{Name: "reports", Backends: 4, Slots: 3, Work: 120 * time.Millisecond, Load: 0.5, Blob: 4 << 20},
		},
	}
}

func polepaSite() Deployment {
	return Deployment{
		Name:      "polepa",
		Domains:   []currantturn.FailureDomain{"hall-a", "hall-b", "hall-c"},
		Balancers: 3,
		Between:   1500 * time.Microsecond,
		Callers:   3 * time.Millisecond,
		Services: []ServicePlan{
			{Name: "proofdesk", Backends: 7, Slots: 7, Work: 80 * time.Millisecond, Load: 0.6, Watches: 60},
			{Name: "printvault", Backends: 3, Slots: 7, Work: 150 * time.Millisecond, Load: 0.5, Blob: 8 << 20},
		},
	}
}
