// Package settings reads a process's INI file into typed options and reports
// every mistake in it at once.
package settings
