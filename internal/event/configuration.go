package event

// Numbers of the configuration events.
const (
	ConfigurationInForce  = 201
	PatchAccepted         = 202
	PatchRejected         = 203
	ConfigurationStale    = 204
	ConfigurationDiverged = 205
	PlatformUnavailable   = 206
	PlatformAvailable     = 207
	WatcherSelected       = 209
	WatcherReleased       = 210
	SnapshotLoaded        = 211
	JoinRefused           = 212
)

var configurationDefinitions = []Definition{
	{ConfigurationInForce, "configuration_in_force", Info, "configuration came into force", fields("version services digest delay")},
	{PatchAccepted, "patch_accepted", Info, "patch was accepted", fields("position version author published")},
	{PatchRejected, "patch_rejected", Warning, "patch was rejected", fields("position version author reason")},
	{ConfigurationStale, "configuration_stale", Warning, "platform returned an older configuration log than the one in force", fields("position expected")},
	{ConfigurationDiverged, "configuration_diverged", Error, "digest of the published configuration log differs from the one already accepted", fields("position digest expected")},
	{PlatformUnavailable, "platform_unavailable", Warning, "platform does not answer", fields("url error")},
	{PlatformAvailable, "platform_available", Info, "platform answers again", fields("url outage")},
	{WatcherSelected, "watcher_selected", Info, "process started to watch the platform for its failure domain", fields("failure_domain")},
	{WatcherReleased, "watcher_released", Info, "process stopped watching the platform", fields("failure_domain")},
	{SnapshotLoaded, "snapshot_loaded", Info, "snapshot was loaded", fields("version bytes source")},
	{JoinRefused, "join_refused", Warning, "process does not serve yet: a newer configuration than its own has been announced", fields("version heard")},
}
