// Package platform is a fake of the platform's configuration service, for tests and
// for the command try. It can be unavailable or slow, and can serve an outdated or
// rewritten log.
package platform
