package try

import (
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// ServicePlan describes one service of a deployment.
type ServicePlan struct {
	Name         currantturn.ServiceName
	Backends     int
	Slots        int
	ServiceTime  time.Duration // time that one request occupies a slot
	OfferedLoad  float64       // average share of all slots that the requests occupy
	WatchCallers int           // callers that hold a watch open, besides those that send requests
	BlobBytes    int           // size of a blob; 0 means that callers request none
}

// Deployment describes one of the users' sites at its present size.
type Deployment struct {
	Name             string
	FailureDomains   []currantturn.FailureDomain
	Balancers        int
	InterDomainDelay time.Duration // one way, between failure domains; a run does not simulate it
	CallerDelay      time.Duration // one way, between callers and balancers, on average
	Services         []ServicePlan
}

// ErrUnknownDeployment reports a deployment name that is not one of
// DeploymentNames.
var ErrUnknownDeployment = eris.New("unknown deployment")

// DeploymentNames returns the names that FindDeployment accepts.
func DeploymentNames() []string {
	return []string{"authority", "polepa"}
}

// FindDeployment returns the deployment with a name.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "authority":
		return authorityDeployment(), nil
	case "polepa":
		return polepaDeployment(), nil
	}
	return Deployment{}, eris.Wrapf(ErrUnknownDeployment, "%q", name)
}

func authorityDeployment() Deployment {
	return Deployment{
		Name:             "authority",
		FailureDomains:   []currantturn.FailureDomain{"kivukoni", "upanga", "kurasini", "mikocheni"},
		Balancers:        4,
		InterDomainDelay: 1500 * time.Microsecond,
		CallerDelay:      time.Millisecond,
		Services: []ServicePlan{
			{Name: "verify", Backends: 7, Slots: 3, ServiceTime: 60 * time.Millisecond, OfferedLoad: 0.6, WatchCallers: 60},
			{Name: "reports", Backends: 4, Slots: 3, ServiceTime: 120 * time.Millisecond, OfferedLoad: 0.5, BlobBytes: 4 << 20},
		},
	}
}

func polepaDeployment() Deployment {
	return Deployment{
		Name:             "polepa",
		FailureDomains:   []currantturn.FailureDomain{"hall-a", "hall-b", "hall-c"},
		Balancers:        3,
		InterDomainDelay: 1500 * time.Microsecond,
		CallerDelay:      3 * time.Millisecond,
		Services: []ServicePlan{
			{Name: "proofdesk", Backends: 7, Slots: 7, ServiceTime: 80 * time.Millisecond, OfferedLoad: 0.6, WatchCallers: 60},
			{Name: "printvault", Backends: 3, Slots: 7, ServiceTime: 150 * time.Millisecond, OfferedLoad: 0.5, BlobBytes: 8 << 20},
		},
	}
}
