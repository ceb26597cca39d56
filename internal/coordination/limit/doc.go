// Package limit enforces the limits of a host: per caller on opening packets and
// new flows per second, open flows and requests in progress, and on the open flows
// of all callers together.
package limit
