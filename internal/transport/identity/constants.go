package identity

import "time"

const (
	// Protocol is the application protocol that processes negotiate.
	Protocol = "currantturn/1"
	// MaxAuthorities is how many authorities are valid at once during rotation.
	MaxAuthorities = 2
	// ExpiryNotice is how long before its end a certificate is reported.
	ExpiryNotice = 24 * time.Hour
	// scheme is that of the URI in a certificate, as in currantturn://agent/vm-7.
	scheme = "currantturn"
	// maxFileBytes is the largest credentials file.
	maxFileBytes = 1 << 20
)
