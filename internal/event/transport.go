package event

// Numbers of the transport events.
const (
	ListenerOpened        = 701
	ListenerFailed        = 702
	SendFailed            = 703
	QueueFull             = 704
	EnvelopeTooLarge      = 705
	HopLimitReached       = 706
	SocketReplaced        = 707
	ControlBudgetExceeded = 708
)

var transportDefinitions = []Definition{
	{ListenerOpened, "listener_opened", Info, "listener opened", fields("kind address")},
	{ListenerFailed, "listener_failed", Error, "listener failed", fields("kind address error")},
	{SendFailed, "send_failed", Warning, "datagram could not be sent", fields("to error")},
	{QueueFull, "queue_full", Warning, "queue is full; a datagram was dropped", fields("queue limit")},
	{EnvelopeTooLarge, "envelope_too_large", Warning, "packet exceeds the path and was dropped", fields("bytes limit")},
	{HopLimitReached, "hop_limit_reached", Warning, "envelope passed too many agents and was dropped", fields("flow hops")},
	{SocketReplaced, "socket_replaced", Info, "socket was replaced by a fresh one", fields("peer reason")},
	{ControlBudgetExceeded, "control_budget_exceeded", Warning, "control traffic exceeds its budget", fields("bytes_per_second limit")},
}
