// Package limit bounds what one caller may hold of a host: new flows a second,
// open flows and requests in progress, and all open flows together.
package limit
