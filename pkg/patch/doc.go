// Package patch decodes, checks and applies patches to the configuration. The
// configuration and the verdict on each published record depend only on the log
// up to that record, so that all processes reach the same ones.
package patch
