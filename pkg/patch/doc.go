// Package patch decodes, checks and applies patches of the configuration; the
// verdict on each published record is a pure fold over the log.
package patch
