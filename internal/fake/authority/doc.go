// Package authority issues throw-away certificates, for tests and for runs of
// a whole deployment on one machine.
package authority
