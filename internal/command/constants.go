package command

import "time"

// Release is the version of the program.
const Release = "0.1.0"

const (
	// unknownRevision stands for the commit of a program that was built outside a checkout.
	unknownRevision = "unknown"
	// revisionDigits is the number of digits of a commit that are shown.
	revisionDigits = 12
)

// Exit codes of every command.
const (
	ExitOK       = 0
	ExitRejected = 1 // an invariant failed, or a patch or configuration is rejected
	ExitBadInput = 2 // bad settings, arguments or files
	ExitFailure  = 3 // the command could not be executed
)

const (
	// maxPatchBytes is the size limit of a patch file.
	maxPatchBytes = 1 << 20
	// maxConfigurationBytes is the size limit of the files of a configuration check: the
	// largest listing of registrations.
	maxConfigurationBytes = 16 << 20
	// statusTimeout limits all requests of one status command.
	statusTimeout = 10 * time.Second
	// forcedStopDelay is how long a process may take to return after its context
	// is cancelled.
	forcedStopDelay = time.Second
	// maxLogLineBytes is the length limit of a log line read by explain.
	maxLogLineBytes = 1 << 20
	// dropReportInterval is how often the number of dropped log lines is logged.
	dropReportInterval = time.Second
	// defaultTryDuration is the default length of a try run.
	defaultTryDuration = 20 * time.Second
)
