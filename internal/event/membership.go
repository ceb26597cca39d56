package event

// Numbers of the membership events.
const (
	MemberAlive      = 401
	MemberSuspected  = 402
	MemberDead       = 403
	MemberLeaving    = 404
	SuspicionRefuted = 405
	ChannelSilent    = 406
	ChannelRestored  = 407
)

var membershipDefinitions = []Definition{
	{MemberAlive, "member_alive", Info, "member is alive", fields("member incarnation")},
	{MemberSuspected, "member_suspected", Warning, "member is suspected", fields("member incarnation silence")},
	{MemberDead, "member_dead", Warning, "member is dead", fields("member incarnation source")},
	{MemberLeaving, "member_leaving", Info, "member is leaving", fields("member incarnation source")},
	{SuspicionRefuted, "suspicion_refuted", Info, "process refuted a suspicion about itself", fields("incarnation")},
	{ChannelSilent, "channel_silent", Warning, "peer did not answer a probe in time; retrying from a new socket", fields("peer silence")},
	{ChannelRestored, "channel_restored", Info, "peer answers again over a new socket", fields("peer elapsed")},
}
