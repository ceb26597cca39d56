package patch

// Bounds of one patch.
const (
	// MaxBytes bounds a published patch, so that it spreads within seconds.
	MaxBytes = 64 << 10
	// MaxOperations bounds the operations of a patch.
	MaxOperations = 1024
	// MaxCommentBytes bounds a patch's comment.
	MaxCommentBytes = 1024
	// maxDepth bounds the nesting of a patch's JSON.
	maxDepth = 8
)

// Bounds of a configuration.
const (
	// MaxServices bounds the services of a configuration.
	MaxServices = 1024
	// MaxBackendServers bounds the backend servers of all services together.
	MaxBackendServers = 20_480
	// MaxAddresses bounds the addresses of one service.
	MaxAddresses = 16
	// MaxNameBytes bounds a service name, a backend server ID and a failure
	// domain; the envelope carries no longer names.
	MaxNameBytes = 63
)

// Ranges of a backend server's values.
const (
	minSlots  = 1
	maxSlots  = 4096
	minWeight = 0
	maxWeight = 1000
)
