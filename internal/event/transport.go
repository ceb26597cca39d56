package event

// Numbers of the transport events.
const (
	ListenerFailed   = 702
	EnvelopeTooLarge = 705
	HopLimitReached  = 706
)

var transportDefinitions = []Definition{
	{ListenerFailed, "listener_failed", Error, "listener failed", fields("kind address error")},
	{EnvelopeTooLarge, "envelope_too_large", Warning, "packet exceeds the size limit of the path and was dropped", fields("bytes limit")},
	{HopLimitReached, "hop_limit_reached", Warning, "envelope exceeded the hop limit and was dropped", fields("flow hops")},
}
