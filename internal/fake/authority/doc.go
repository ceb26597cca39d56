// Package authority is a certificate authority that issues short-lived
// certificates, for tests and for runs of a whole deployment on one machine.
package authority
