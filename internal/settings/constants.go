package settings

// Bounds on settings files and their values.
const (
	// maxFileBytes is the maximum size of a settings file.
	maxFileBytes = 256 << 10
	// maxNamedFileBytes is the maximum size of a key or certificate file.
	maxNamedFileBytes = 1 << 20
	// maxNameBytes is the maximum length of the name of a process, failure domain
	// or service.
	maxNameBytes = 63
	// maxListEntries is the maximum length of a list of addresses or URLs.
	maxListEntries = 1024
)
