package command

import "time"

// Release is the version of the program.
const Release = "0.1.0"

// Exit codes of every command.
const (
	ExitOK       = 0
	ExitRejected = 1 // an invariant failed, or a patch is rejected
	ExitBadInput = 2 // bad settings, arguments or files
	ExitFailure  = 3 // the command itself could not be carried out
)

const (
	// maxPatchBytes is the largest patch file.
	maxPatchBytes = 1 << 20
	// statusTimeout bounds the reads of one status command.
	statusTimeout = 10 * time.Second
	// forcedStopDelay is how long a process has to end once its context did.
	forcedStopDelay = time.Second
	// maxLogLineBytes is the longest log line that is read.
	maxLogLineBytes = 1 << 20
	// leftOutEvery is how often log lines that were left out are told.
	leftOutEvery = time.Second
	// defaultTryDuration is the length of a try.
	defaultTryDuration = 20 * time.Second
)
