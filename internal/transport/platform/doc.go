// Package platform reads the platform's configuration service over HTTP.
package platform
