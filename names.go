package currantturn

// Version is the number of an accepted configuration; 0 is the empty one.
type Version uint64

// ServiceName identifies a service across all of its addresses.
type ServiceName string

// BackendID identifies a backend server and the agent beside it.
type BackendID string

// VMName identifies an entry VM and the balancer on it.
type VMName string

// FailureDomain is the name of a set of computers that fail together.
type FailureDomain string

// BackendState determines whether a backend server may receive new work.
type BackendState string

// States of a backend server in the configuration.
const (
	BackendActive   BackendState = "active"
	BackendDraining BackendState = "draining"
)

// Role is the function of a process.
type Role string

// Roles of the system's processes.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"

	RoleFlowBalancer Role = "flow_balancer" // of opaque flows, whose data is not parsed
	RoleFlowAgent    Role = "flow_agent"
)
