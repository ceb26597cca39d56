package currantturn

// Version numbers accepted configurations; the empty configuration is 0.
type Version uint64

// ServiceName identifies a service across all of its addresses.
type ServiceName string

// BackendID identifies a backend server and the agent beside it.
type BackendID string

// VMName identifies an entry VM and the balancer on it.
type VMName string

// FailureDomain names a set of machines that fail together.
type FailureDomain string

// BackendState says whether a backend server may receive new work.
type BackendState string

// States of a backend server in the configuration.
const (
	BackendActive   BackendState = "active"
	BackendDraining BackendState = "draining"
)

// Role names the job of a process.
type Role string

// Roles of the system's processes.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"

	RoleFlowBalancer Role = "flow_balancer" // of flows whose data stays opaque
	RoleFlowAgent    Role = "flow_agent"
)
