package identity

import "time"

const (
	// Protocol is the application protocol that processes negotiate in TLS (ALPN).
	Protocol = "currantturn/1"
	// MaxAuthorities is the number of certificate authorities that may be valid at once:
	// the old and the new one during rotation.
	MaxAuthorities = 2
	// ExpiryNotice is how long before its expiry a certificate is first reported.
	ExpiryNotice = 24 * time.Hour
	// uriScheme is the scheme of the URI with a process's role and name in its
	// certificate, as in currantturn://agent/vm-7.
	uriScheme = "currantturn"
	// maxFileBytes is the largest credentials file that is read.
	maxFileBytes = 1 << 20
)
