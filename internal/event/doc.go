// Package event holds the numbered catalogue of the system's events and logs
// them through logrus.
package event
