// Package routehistory records which services routes used to lead to, since flows
// that were placed then may still be open.
package routehistory
