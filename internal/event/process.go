package event

// Numbers of the process events.
const (
	ProcessStarted    = 101
	ProcessReady      = 102
	ShutdownStarted   = 103
	ShutdownForced    = 104
	ProcessStopped    = 105
	ProcessFailed     = 106
	PauseDetected     = 107
	InvariantViolated = 108
	AdminFailed       = 109
	AdminRefused      = 110
)

var processDefinitions = []Definition{
	{ProcessStarted, "process_started", Info, "process started", fields("role version build address")},
	{ProcessReady, "process_ready", Info, "process serves traffic", fields("configuration_version")},
	{ShutdownStarted, "shutdown_started", Info, "graceful shutdown started", fields("grace")},
	{ShutdownForced, "shutdown_forced", Warning, "second signal received; stopping at once", fields("requests flows")},
	{ProcessStopped, "process_stopped", Info, "process stopped", fields("elapsed")},
	{ProcessFailed, "process_failed", Error, "process ended with an error", fields("error")},
	{PauseDetected, "pause_detected", Warning, "process was paused; its outdated state is refreshed first", fields("pause")},
	{InvariantViolated, "invariant_violated", Error, "internal invariant does not hold", fields("invariant detail")},
	{AdminFailed, "admin_failed", Error, "administration API ended with an error", fields("error")},
	{AdminRefused, "admin_refused", Warning, "administration request was refused", fields("path reason")},
}
