// Package request defines the HTTP interface to callers: the headers, keys and
// timeouts of their requests, and the statuses and bodies that report an outcome.
package request
