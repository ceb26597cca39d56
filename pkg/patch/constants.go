package patch

// Bounds of one patch.
const (
	// MaxBytes is the maximum size of a published patch, which must reach every
	// process within seconds.
	MaxBytes = 64 << 10
	// MaxOperations is the maximum number of operations in a patch.
	MaxOperations = 1024
	// MaxCommentBytes is the maximum size of a patch's comment.
	MaxCommentBytes = 1024
	// maxDepth is the maximum nesting depth of a patch's JSON.
	maxDepth = 8
)

// Bounds of a configuration.
const (
	// MaxServices is the maximum number of services.
	MaxServices = 1024
	// MaxBackendServers is the maximum number of backend servers, all services
	// together.
	MaxBackendServers = 20_480
	// MaxAddresses is the maximum number of addresses of one service.
	MaxAddresses = 16
	// MaxNameBytes is the maximum length of a service name, a backend server ID
	// and a failure domain name, since the envelope has no room for longer names.
	MaxNameBytes = 63
)

// Permitted ranges of a backend server's settings.
const (
	minSlots  = 1
	maxSlots  = 4096
	minWeight = 0
	maxWeight = 1000
)
