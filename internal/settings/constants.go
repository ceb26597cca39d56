package settings

// Bounds on the files that settings name.
const (
	// maxFileBytes is the largest settings file.
	maxFileBytes = 256 << 10
	// maxNamedFileBytes is the largest key or certificate file.
	maxNamedFileBytes = 1 << 20
	// maxNameBytes is the longest name of a process, domain or service.
	maxNameBytes = 63
	// maxListEntries is the longest list of addresses or URLs.
	maxListEntries = 1024
)
