package event

// Numbers of the trust events.
const (
	DatagramForged          = 601
	DatagramReplayed        = 602
	DatagramMalformed       = 603
	DatagramTooLarge        = 604
	PeerRefused             = 605
	CredentialsReloaded     = 606
	CredentialsReloadFailed = 607
	CertificateExpiring     = 608
	DatagramMisdirected     = 609
)

var trustDefinitions = []Definition{
	{DatagramForged, "datagram_forged", Warning, "datagram failed authentication and was dropped", fields("from")},
	{DatagramReplayed, "datagram_replayed", Warning, "replayed datagram was dropped", fields("from")},
	{DatagramMalformed, "datagram_malformed", Warning, "malformed datagram was dropped", fields("from error")},
	{DatagramTooLarge, "datagram_too_large", Warning, "oversized datagram was dropped", fields("from bytes")},
	{PeerRefused, "peer_refused", Warning, "peer certificate was refused", fields("from error")},
	{CredentialsReloaded, "credentials_reloaded", Info, "keys and certificates were reloaded", fields("not_after")},
	{CredentialsReloadFailed, "credentials_reload_failed", Error, "keys and certificates could not be reloaded; the previous ones stay in use", fields("file error")},
	{CertificateExpiring, "certificate_expiring", Warning, "certificate expires soon", fields("file not_after")},
	{DatagramMisdirected, "datagram_misdirected", Warning, "authentic datagram for another process was dropped", fields("from")},
}
