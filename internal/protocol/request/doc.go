// Package request defines what callers send with a request and the outcomes
// that they are told: keys, deadlines, headers, statuses and bodies.
package request
