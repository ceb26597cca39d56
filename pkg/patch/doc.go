// Package patch decodes, checks and applies patches to the configuration. The
// configuration and the verdict on each published record are a pure fold over the
// log: they depend only on the records up to that one, so that all processes reach
// the same ones.
package patch
