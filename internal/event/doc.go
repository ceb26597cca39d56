// Package event defines the numbered catalogue of the system's events and logs
// events through logrus.
package event
