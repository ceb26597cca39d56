// Package settings reads the INI file of a process into typed options, and
// reports all mistakes in the file together.
package settings
